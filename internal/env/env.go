// Package env is the seam between the network code and the world: clock, timers,
// connections, goroutines and chance come through it. The sidecar runs on Real;
// internal/sim puts a world in its place in which a seed decides what comes next.
package env

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// Env is the world as a sidecar meets it.
type Env interface {
	// Now is the present time, monotonic within a process.
	Now() time.Time
	// BootTime is the time since some moment before the process's start; unlike Now's it goes on while the machine is
	// suspended. A lease is counted by it.
	BootTime() time.Duration
	// NewTimer returns a timer that fires once, as time.NewTimer does.
	NewTimer(d time.Duration) Timer
	// AfterFunc calls f in a goroutine of its own after a time.
	AfterFunc(d time.Duration, f func())
	// Sleep pauses the calling goroutine.
	Sleep(d time.Duration)
	// Dial opens a TCP connection; it fails when the context ends or the time passes.
	Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error)
	// Listen opens a TCP address.
	Listen(address string) (net.Listener, error)
	// Go runs f in a goroutine of its own; the name says what for.
	Go(name string, f func())
	// RandomDuration draws a time from 0 up to, but not including, d, which is above 0.
	RandomDuration(d time.Duration) time.Duration
}

// Timer is a time.Timer. After Stop or Reset no stale time is received.
type Timer interface {
	C() <-chan time.Time
	Reset(d time.Duration)
	Stop()
}

// Real is the machine that the process runs on.
type Real struct{}

// Now is time.Now.
func (Real) Now() time.Time { return time.Now() }

// BootTime is CLOCK_BOOTTIME. Where the kernel has none (Linux before 2.6.39) there is nothing to count a lease by.
func (Real) BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err)
	}
	return time.Duration(t.Nano())
}

// NewTimer is time.NewTimer.
func (Real) NewTimer(d time.Duration) Timer { return realTimer{time.NewTimer(d)} }

type realTimer struct{ t *time.Timer }

// C is where the time comes.
func (r realTimer) C() <-chan time.Time { return r.t.C }

// Reset is time.Timer's.
func (r realTimer) Reset(d time.Duration) { r.t.Reset(d) }

// Stop is time.Timer's.
func (r realTimer) Stop() { r.t.Stop() }

// AfterFunc is time.AfterFunc.
func (Real) AfterFunc(d time.Duration, f func()) { time.AfterFunc(d, f) }

// Sleep is time.Sleep.
func (Real) Sleep(d time.Duration) { time.Sleep(d) }

// Dial is net.Dialer's.
func (Real) Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	return (&net.Dialer{Timeout: timeout}).DialContext(ctx, "tcp", address)
}

// Listen is net.Listen.
func (Real) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// Go starts a goroutine.
func (Real) Go(_ string, f func()) { go f() }

// RandomDuration draws from the process's source.
func (Real) RandomDuration(d time.Duration) time.Duration { return rand.N(d) }
