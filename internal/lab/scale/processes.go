package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"heathgap/decide"
	"heathgap/internal/env"
	"heathgap/internal/lab/emulated"
	"heathgap/internal/lab/harness"
	"heathgap/internal/peerrpc"
)

// Times of processes.
const (
	killTimeout    = 5 * time.Second  // for a killed process to be gone
	leaveTimeout   = 12 * time.Second // for one that ends in order: what it holds moves before
	readyTimeout   = time.Minute      // for a hollow process's members to listen
	commandTimeout = 20 * time.Second // for a command's answer, above what a member that leaves takes
	sampleTimeout  = 10 * time.Second
	maxJSONLine    = 64 << 20
)

func bootTime() time.Duration { return env.Real{}.BootTime() }

// sidecar is a real process, over all its starts: a keeper, a member under load, or one without a crew.
type sidecar struct {
	run     *run
	name    string
	kind    string
	host    string
	listen  string
	address string // of its part in the crew
	dir     string
	relays  map[string]*harness.Relay // to keepers, by name
	client  *peerrpc.Client           // to a keeper

	mu     sync.Mutex // guards what follows
	proc   *harness.Process
	starts int
	up     bool // it runs, and nobody has begun to end it
}

func (c *sidecar) isUp() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.up
}

// markEnding marks it as being ended; false where it is so already.
func (c *sidecar) markEnding() (*harness.Process, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wasUp := c.up
	c.up = false
	return c.proc, wasUp
}

// start starts it and waits until it answers.
func (c *sidecar) start(ctx context.Context) error {
	c.mu.Lock()
	c.starts++
	number := c.starts
	c.mu.Unlock()
	data := filepath.Join(c.dir, "data")
	if err := os.MkdirAll(data, 0o700); err != nil {
		return err
	}
	s, r := c.run.scenario, c.run
	conf := harness.SidecarFile{Name: c.name, Listen: c.listen, Host: c.host, Seed: r.plan.Seed + uint64(number)*7919, Replicas: max(1, s.Size()),
		Zone: r.plan.Locations[c.name].Zone, Effect: decide.Safe, Endpoints: r.endpoints}
	if conf.Zone == "" {
		conf.Zone = s.zones()[0]
	}
	text, err := conf.JSON()
	if err != nil {
		return err
	}
	confPath, operatorPath := filepath.Join(c.dir, "sidecar.json"), filepath.Join(c.dir, "operator.toml")
	if err := os.WriteFile(confPath, text, 0o600); err != nil {
		return err
	}
	cmd := r.opts.Plain
	if c.kind != PlainProcess {
		cmd = r.opts.Member
		if err := os.WriteFile(operatorPath, []byte(c.operatorFile(data)), 0o600); err != nil {
			return err
		}
	}
	command := cmd()
	if command.Env == nil {
		command.Env = os.Environ()
	}
	if c.kind != PlainProcess {
		command.Env = append(command.Env, "HEATHGAP_OPERATOR="+operatorPath)
	}
	proc, err := harness.StartProcess(command, c.name, confPath, r.logPath(c.name), func(line string) { r.handleLogLine(c, line) })
	if err != nil {
		return err
	}
	r.notifyStarted(proc.Pid())
	c.mu.Lock()
	c.proc = proc
	c.mu.Unlock()
	if err := proc.WaitReady(ctx, c.listen); err != nil {
		proc.Signal(syscall.SIGKILL)
		proc.Wait(killTimeout)
		return fmt.Errorf("%s: %w: %s", c.name, err, proc.LastLine())
	}
	c.mu.Lock()
	c.up = true
	c.mu.Unlock()
	return nil
}

func (c *sidecar) operatorFile(data string) string {
	s := c.run.scenario
	f := harness.ClusterFile{Name: s.Name, Address: c.address, Data: data, Lease: s.Lease, Drift: s.Drift, Slack: s.Slack,
		ContradictAtMost: s.ContradictAtMost, Copies: s.Copies, Keep: s.Keep, LostAfter: s.LostAfter}
	for _, k := range c.run.voters {
		address := k.address
		if relay := c.relays[k.name]; relay != nil {
			address = relay.Address()
		}
		f.Voters = append(f.Voters, harness.NamedAddress{Name: k.name, Address: address})
	}
	return f.Text()
}

// usage is what it has cost since its start.
func (c *sidecar) usage() (Usage, error) {
	c.mu.Lock()
	proc, u := c.proc, Usage{At: bootTime(), Start: c.starts}
	up := c.up
	c.mu.Unlock()
	if proc == nil || !up {
		return u, errors.New("it does not run")
	}
	mb, cpu, descriptors, err := proc.Usage()
	if err != nil {
		return u, err
	}
	u.MB, u.CPU, u.Descriptors = mb, time.Duration(cpu*float64(time.Second)), descriptors
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(proc.Pid()), "io"))
	if err != nil {
		return u, err
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		key, value, _ := strings.Cut(line, ": ")
		into := map[string]*int64{"rchar": &u.Read, "wchar": &u.Write, "read_bytes": &u.DiskRead, "write_bytes": &u.DiskWrite}[key]
		if into == nil {
			continue
		}
		if *into, err = strconv.ParseInt(value, 10, 64); err != nil {
			return u, fmt.Errorf("/proc: io: %w", err)
		}
	}
	return u, nil
}

// close ends it, whatever it does.
func (c *sidecar) close() {
	c.mu.Lock()
	proc := c.proc
	c.up = false
	c.mu.Unlock()
	if proc != nil {
		proc.Signal(syscall.SIGKILL)
		proc.Wait(killTimeout)
	}
	if c.client != nil {
		c.client.Close()
	}
	for _, relay := range c.relays {
		relay.Close()
	}
}

// emulatedProcess is a process of hollow members.
type emulatedProcess struct {
	run     *run
	name    string
	members []emulated.Peer
	cmd     *exec.Cmd
	in      io.WriteCloser
	ready   chan struct{} // closed when all members listen
	exited  chan struct{}

	writeMu sync.Mutex // guards in
	mu      sync.Mutex // guards what follows
	lastID  int
	waiting map[int]chan emulated.Output
	fault   string // what it said is wrong with it
	closing bool   // it was told to end
}

// startEmulated starts a process and tells it what to start.
func (r *run) startEmulated(name string, start emulated.Start) (*emulatedProcess, error) {
	p := &emulatedProcess{run: r, name: name, members: start.Members, cmd: r.opts.Emulated(), ready: make(chan struct{}), exited: make(chan struct{}),
		waiting: map[int]chan emulated.Output{}}
	// As a sidecar of the rig: an interrupt from a terminal is the lab's, and if the lab itself is killed, it dies with it.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	var err error
	if p.in, err = p.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	var log *os.File
	if path := r.logPath(name); path != "" {
		if log, err = os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644); err != nil {
			return nil, err
		}
		p.cmd.Stderr = log
	}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	r.notifyStarted(p.cmd.Process.Pid)
	go p.readOutput(out, log)
	if err := json.NewEncoder(p.in).Encode(start); err != nil {
		p.close()
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return p, nil
}

// readOutput reads what it says to its end.
func (p *emulatedProcess) readOutput(out io.Reader, log *os.File) {
	defer close(p.exited)
	lines := bufio.NewScanner(out)
	lines.Buffer(make([]byte, 0, 64<<10), maxJSONLine)
	for lines.Scan() {
		var l emulated.Output
		if err := json.Unmarshal(lines.Bytes(), &l); err != nil {
			p.setFault(fmt.Sprintf("malformed: %v", err))
			continue
		}
		switch {
		case l.Event != nil:
			p.run.recordState(*l.Event)
		case l.Ready:
			close(p.ready)
		case l.ID > 0:
			p.mu.Lock()
			answer := p.waiting[l.ID]
			delete(p.waiting, l.ID)
			p.mu.Unlock()
			if answer != nil {
				answer <- l
			}
		case l.Error != "":
			p.setFault(l.Error)
		}
	}
	io.Copy(io.Discard, out) //nolint:errcheck // a line that is too long must not block it
	p.cmd.Wait()             //nolint:errcheck // that it has ended is what matters
	if log != nil {
		log.Close()
	}
	p.mu.Lock()
	ended := p.closing
	p.mu.Unlock()
	if !ended {
		p.run.recordFailure("the process %s has ended by itself: %s", p.name, p.lastFault())
	}
}

func (p *emulatedProcess) setFault(fault string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
}

// lastFault is what it said is wrong with it.
func (p *emulatedProcess) lastFault() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// command has it do a command, and waits for the answer.
func (p *emulatedProcess) command(c emulated.Command, timeout time.Duration) (emulated.Output, error) {
	answer := make(chan emulated.Output, 1)
	p.mu.Lock()
	p.lastID++
	c.ID = p.lastID
	p.waiting[c.ID] = answer
	p.mu.Unlock()
	p.writeMu.Lock()
	err := json.NewEncoder(p.in).Encode(c)
	p.writeMu.Unlock()
	if err != nil {
		return emulated.Output{}, fmt.Errorf("%s: %s: %w", p.name, c.Do, err)
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case l := <-answer:
		if l.Error != "" {
			return l, fmt.Errorf("%s: %s", p.name, l.Error)
		}
		return l, nil
	case <-p.exited:
		return emulated.Output{}, fmt.Errorf("%s: it has ended", p.name)
	case <-timer.C:
		p.mu.Lock()
		delete(p.waiting, c.ID)
		p.mu.Unlock()
		return emulated.Output{}, fmt.Errorf("%s: %s: no answer after %v", p.name, c.Do, timeout)
	}
}

// close ends it: in order, or by a kill.
func (p *emulatedProcess) close() {
	p.mu.Lock()
	p.closing = true
	p.mu.Unlock()
	p.in.Close() // whoever it runs is gone then, and it ends
	select {
	case <-p.exited:
		return
	case <-time.After(killTimeout):
	}
	p.cmd.Process.Kill() //nolint:errcheck // it may have ended by itself
	<-p.exited
}
