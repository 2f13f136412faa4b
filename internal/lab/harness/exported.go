package harness

import (
	"context"
	"os"
	"os/exec"
	"time"
)

// What other labs take of this one: hosts, processes and relays.

// Hosts deals out hosts and addresses of the loopback net.
type Hosts struct{ allocator *hostAllocator }

// NewHosts returns a run's.
func NewHosts() *Hosts { return &Hosts{newHostAllocator()} }

// Acquire returns a host that no other run has.
func (h *Hosts) Acquire() (string, error) { return h.allocator.acquire() }

// Address returns an address of a host that was taken, which was not dealt out before.
func (h *Hosts) Address(host string) (string, error) { return h.allocator.address(host) }

// Close gives all hosts back.
func (h *Hosts) Close() { h.allocator.close() }

// Process is one start of a sidecar's program.
type Process struct{ process *process }

// StartProcess starts a sidecar's program with its configuration. Its log goes on to a file where there is one, and each of its
// lines to watch.
func StartProcess(cmd *exec.Cmd, name, config, logPath string, watch func(line string)) (*Process, error) {
	p, err := startProcessWatched(cmd, name, config, logPath, watch)
	if err != nil {
		return nil, err
	}
	return &Process{p}, nil
}

// WaitReady waits until it answers at an address.
func (p *Process) WaitReady(ctx context.Context, address string) error {
	return waitReady(ctx, address, p.process)
}

// Pid is its number.
func (p *Process) Pid() int { return p.process.cmd.Process.Pid }

// Signal tells it to end with a signal.
func (p *Process) Signal(s os.Signal) { p.process.stop(s) }

// Wait waits until it is gone; false after the time.
func (p *Process) Wait(timeout time.Duration) bool { return p.process.wait(timeout) }

// Crashed tells whether it has ended without having been told to.
func (p *Process) Crashed() bool { return p.process.crashed() }

// LastLine is the last one of its log.
func (p *Process) LastLine() string {
	p.process.mu.Lock()
	defer p.process.mu.Unlock()
	return p.process.lastLine
}

// Usage is what it takes of the machine so far: most memory in MB, seconds of processor time, descriptors.
func (p *Process) Usage() (rssMB, cpu float64, descriptors int, err error) {
	u, err := p.process.usage()
	return u.rssMB, u.cpu, u.fds, err
}

// Relay carries connections to an address.
type Relay struct{ relay *relay }

// NewRelay listens at a free port of a host.
func NewRelay(host, target string) (*Relay, error) {
	r, err := newRelay(host, target)
	if err != nil {
		return nil, err
	}
	return &Relay{r}, nil
}

// Address is where it listens.
func (r *Relay) Address() string { return r.relay.address() }

// SetPartitioned has nothing pass either way, or pass again.
func (r *Relay) SetPartitioned(partitioned bool) {
	r.relay.setPartitioned(toTarget, partitioned)
	r.relay.setPartitioned(fromTarget, partitioned)
}

// SetDelay has what goes each way come so much later than before, or sooner where that is below 0.
func (r *Relay) SetDelay(by time.Duration) {
	r.relay.addDelay(toTarget, by)
	r.relay.addDelay(fromTarget, by)
}

// SetAnswerDelay is Delay of what comes back.
func (r *Relay) SetAnswerDelay(by time.Duration) { r.relay.addDelay(fromTarget, by) }

// Close ends it with its connections.
func (r *Relay) Close() { r.relay.close() }
