package emulated

import (
	"os"
	"time"

	"golang.org/x/sys/unix"

	"heathgap/internal/env"
)

// timer is a timer of a member. The timer between two renewals of the lease uses a timer of the kernel: the Go runtime waits for its
// timers in whole milliseconds, so the timers of many members in one process would expire together, a millisecond apart, while those
// of separate processes expire independently. The renewal timer is recognized by the duration to which it is reset.
type timer struct {
	env.Timer
	env         *memberEnv
	kernelTimer *kernelTimer // nil until the timer is reset to the renewal interval
}

// Reset implements env.Timer. A reset to the renewal interval switches the timer to the kernel's for good, unless the kernel refuses.
func (t *timer) Reset(d time.Duration) {
	if d == t.env.renewInterval {
		if t.env.fault == RenewsTooOften {
			d /= 2
		}
		if t.kernelTimer == nil {
			t.kernelTimer = newKernelTimer()
		}
	}
	if t.kernelTimer != nil && t.kernelTimer.set(d) {
		return
	}
	if t.kernelTimer != nil {
		t.kernelTimer.file.Close()
		t.kernelTimer = nil
	}
	t.Timer.Reset(d) // not the renewal timer, or no file descriptor is left
}

// C implements env.Timer.
func (t *timer) C() <-chan time.Time {
	if t.kernelTimer != nil {
		return t.kernelTimer.c
	}
	return t.Timer.C()
}

// Stop implements env.Timer. It ends the kernel's timer.
func (t *timer) Stop() {
	t.Timer.Stop()
	if t.kernelTimer != nil {
		t.kernelTimer.file.Close()
	}
}

// kernelTimer is a timer of the kernel (timerfd) with a goroutine that reads it until its file is closed.
type kernelTimer struct {
	file *os.File
	c    chan time.Time
}

// newKernelTimer returns a timer that is not set, or nil if the kernel gives none.
func newKernelTimer() *kernelTimer {
	fd, err := unix.TimerfdCreate(unix.CLOCK_MONOTONIC, unix.TFD_NONBLOCK|unix.TFD_CLOEXEC)
	if err != nil {
		return nil
	}
	k := &kernelTimer{file: os.NewFile(uintptr(fd), "timerfd"), c: make(chan time.Time, 1)}
	go func() {
		var count [8]byte
		for {
			if _, err := k.file.Read(count[:]); err != nil {
				return
			}
			select {
			case k.c <- time.Now():
			default:
			}
		}
	}()
	return k
}

// set makes the timer expire once after d. It returns false if the timer could not be set.
func (k *kernelTimer) set(d time.Duration) bool {
	raw, err := k.file.SyscallConn()
	if err != nil {
		return false
	}
	// A timerfd set to 0 would be disarmed.
	spec := unix.ItimerSpec{Value: unix.NsecToTimespec(int64(max(d, 1)))}
	if callErr := raw.Control(func(fd uintptr) { err = unix.TimerfdSettime(int(fd), 0, &spec, nil) }); callErr != nil {
		return false
	}
	return err == nil
}
