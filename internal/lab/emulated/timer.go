package emulated

import (
	"os"
	"time"

	"golang.org/x/sys/unix"

	"heathgap/internal/env"
)

// timer is a timer of a member. The one between two questions for the lease goes by the kernel's clock: the runtime waits for its
// timers in whole milliseconds, so that the timers of many members in one process go off together, a millisecond apart, where those
// of a process each go off by themselves. It is the one that is set anew, by the time between two questions.
type timer struct {
	env.Timer
	env    *memberEnv
	kernel *kernelTimer // nil until then
}

// Reset is env.Timer's.
func (t *timer) Reset(d time.Duration) {
	if d == t.env.renewInterval {
		if t.env.fault == RenewsTooOften {
			d /= 2
		}
		if t.kernel == nil {
			t.kernel = newKernelTimer()
		}
	}
	if t.kernel != nil && t.kernel.set(d) {
		return
	}
	if t.kernel != nil {
		t.kernel.file.Close()
		t.kernel = nil
	}
	t.Timer.Reset(d) // not yet, or no descriptors are left
}

// C is where the time comes.
func (t *timer) C() <-chan time.Time {
	if t.kernel != nil {
		return t.kernel.c
	}
	return t.Timer.C()
}

// Stop is env.Timer's.
func (t *timer) Stop() {
	t.Timer.Stop()
	if t.kernel != nil {
		t.kernel.file.Close()
	}
}

// kernelTimer is a timer of the kernel's, and the goroutine that reads it until its file is closed.
type kernelTimer struct {
	file *os.File
	c    chan time.Time
}

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

// set has it go off once.
func (k *kernelTimer) set(d time.Duration) bool {
	raw, err := k.file.SyscallConn()
	if err != nil {
		return false
	}
	spec := unix.ItimerSpec{Value: unix.NsecToTimespec(int64(max(d, 1)))}
	if callErr := raw.Control(func(fd uintptr) { err = unix.TimerfdSettime(int(fd), 0, &spec, nil) }); callErr != nil {
		return false
	}
	return err == nil
}
