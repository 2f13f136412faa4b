// Package env defines the interface between the network code and its environment: clock, timers, connections, goroutines and random
// durations. A sidecar runs on Real. A simulation (package sim) uses an implementation in which a seed determines the order of events.
// bypass_test.go checks that the network code uses nothing else.
package env

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// Env is the environment of a sidecar: all of its network code uses the outside world through it.
type Env interface {
	// Now returns the present time, monotonic within a process.
	Now() time.Time
	// BootTime returns the time since some moment before the process started. Unlike the clock of Now, it also runs while the machine
	// is suspended. Leases are measured by it.
	BootTime() time.Duration
	// NewTimer returns a timer that fires once, as time.NewTimer does.
	NewTimer(d time.Duration) Timer
	// AfterFunc calls f in a goroutine of its own after a duration.
	AfterFunc(d time.Duration, f func())
	// Sleep pauses the calling goroutine.
	Sleep(d time.Duration)
	// Dial opens a TCP connection. It fails when the context ends or the timeout passes.
	Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error)
	// Listen listens at a TCP address.
	Listen(address string) (net.Listener, error)
	// Go runs f in a goroutine of its own. The name says what the goroutine does.
	Go(name string, f func())
	// RandomDuration returns a random duration from 0 up to, but not including, d, which must be above 0.
	RandomDuration(d time.Duration) time.Duration
}

// Timer is a timer like time.Timer. After Stop or Reset, no time of an earlier setting is received.
type Timer interface {
	C() <-chan time.Time
	Reset(d time.Duration)
	Stop()
}

// Real is the environment of the machine that the process runs on.
type Real struct{}

// Now returns time.Now().
func (Real) Now() time.Time { return time.Now() }

// BootTime returns the time of CLOCK_BOOTTIME. It panics where the kernel has no such clock (Linux before 2.6.39), because there is no other
// clock to measure a lease by.
func (Real) BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err)
	}
	return time.Duration(t.Nano())
}

// NewTimer calls time.NewTimer.
func (Real) NewTimer(d time.Duration) Timer { return realTimer{time.NewTimer(d)} }

// realTimer implements Timer by a time.Timer.
type realTimer struct{ t *time.Timer }

// C returns the channel on which the time is received.
func (r realTimer) C() <-chan time.Time { return r.t.C }

// Reset calls time.Timer.Reset.
func (r realTimer) Reset(d time.Duration) { r.t.Reset(d) }

// Stop calls time.Timer.Stop.
func (r realTimer) Stop() { r.t.Stop() }

// AfterFunc calls time.AfterFunc.
func (Real) AfterFunc(d time.Duration, f func()) { time.AfterFunc(d, f) }

// Sleep calls time.Sleep.
func (Real) Sleep(d time.Duration) { time.Sleep(d) }

// Dial opens a TCP connection with a net.Dialer.
func (Real) Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	return (&net.Dialer{Timeout: timeout}).DialContext(ctx, "tcp", address)
}

// Listen listens at a TCP address with net.Listen.
func (Real) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// Go starts a goroutine. The name is not used.
func (Real) Go(_ string, f func()) { go f() }

// RandomDuration returns a random duration from the process's global random source.
func (Real) RandomDuration(d time.Duration) time.Duration { return rand.N(d) }
