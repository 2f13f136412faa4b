package harness

import (
	"context"
	"os"
	"os/exec"
	"time"
)

// What other packages of the lab use of this one: hosts, processes and relays.

// Hosts allocates hosts and addresses of the loopback network.
type Hosts struct{ allocator *hostAllocator }

// NewHosts returns the hosts of a new run.
func NewHosts() *Hosts { return &Hosts{newHostAllocator()} }

// Acquire returns a host that no other run uses.
func (h *Hosts) Acquire() (string, error) { return h.allocator.acquire() }

// Address returns an address at an acquired host, with a port that has not been used before.
func (h *Hosts) Address(host string) (string, error) { return h.allocator.address(host) }

// Close releases all hosts.
func (h *Hosts) Close() { h.allocator.close() }

// Process is one start of a sidecar's program.
type Process struct{ process *process }

// StartProcess starts a sidecar's program with the configuration file config. The log of the process is appended to the file
// logPath, unless that is empty, and watch receives each line of it, unless watch is nil.
func StartProcess(cmd *exec.Cmd, name, config, logPath string, watch func(line string)) (*Process, error) {
	p, err := startProcessWatched(cmd, name, config, logPath, watch)
	if err != nil {
		return nil, err
	}
	return &Process{p}, nil
}

// WaitReady waits until the process answers at an address.
func (p *Process) WaitReady(ctx context.Context, address string) error {
	return waitReady(ctx, address, p.process)
}

// Pid returns the process id.
func (p *Process) Pid() int { return p.process.cmd.Process.Pid }

// Signal sends a signal that ends the process, and records that the lab ended it.
func (p *Process) Signal(s os.Signal) { p.process.stop(s) }

// Wait waits until the process has ended. It returns false if timeout passes before.
func (p *Process) Wait(timeout time.Duration) bool { return p.process.wait(timeout) }

// Crashed reports whether the process has ended although the lab did not stop it.
func (p *Process) Crashed() bool { return p.process.crashed() }

// LastLine returns the last line of the process's log.
func (p *Process) LastLine() string {
	p.process.mu.Lock()
	defer p.process.mu.Unlock()
	return p.process.lastLine
}

// Usage returns the peak of the process's memory in MB, its CPU time in seconds and the number of its open descriptors.
func (p *Process) Usage() (rssMB, cpu float64, descriptors int, err error) {
	u, err := p.process.usage()
	return u.rssMB, u.cpu, u.fds, err
}

// Relay forwards connections to an address.
type Relay struct{ relay *relay }

// NewRelay starts a relay that listens at a free port of a host.
func NewRelay(host, target string) (*Relay, error) {
	r, err := newRelay(host, target)
	if err != nil {
		return nil, err
	}
	return &Relay{r}, nil
}

// Address returns the address where the relay listens.
func (r *Relay) Address() string { return r.relay.address() }

// SetPartitioned partitions both directions, or heals them. Each call with true needs one with false.
func (r *Relay) SetPartitioned(partitioned bool) {
	r.relay.setPartitioned(toTarget, partitioned)
	r.relay.setPartitioned(fromTarget, partitioned)
}

// AddDelay adds to the delay of both directions; a negative value takes delay away.
func (r *Relay) AddDelay(by time.Duration) {
	r.relay.addDelay(toTarget, by)
	r.relay.addDelay(fromTarget, by)
}

// AddAnswerDelay adds to the delay of the direction from the target only.
func (r *Relay) AddAnswerDelay(by time.Duration) { r.relay.addDelay(fromTarget, by) }

// Close stops the relay and resets its connections.
func (r *Relay) Close() { r.relay.close() }
