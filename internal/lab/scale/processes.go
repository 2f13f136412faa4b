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

// Time limits for processes, and a size limit for their output.
const (
	killTimeout    = 5 * time.Second  // until a killed process has ended
	leaveTimeout   = 12 * time.Second // until a process has left gracefully; its replicas are moved to other members first
	readyTimeout   = time.Minute      // until all members of a process listen
	commandTimeout = 20 * time.Second // until a command is answered; longer than a member takes to leave
	sampleTimeout  = 10 * time.Second
	// maxJSONLine is the size of the longest line of JSON that is read from a process of emulated members.
	maxJSONLine = 64 << 20
)

// bootTime returns the present reading of CLOCK_BOOTTIME, which is the same in all processes of the machine.
func bootTime() time.Duration { return env.Real{}.BootTime() }

// sidecar is a real process, over all its starts: a voter, a member under load, or a plain sidecar without a cluster.
type sidecar struct {
	run     *run
	name    string
	kind    string // one of the kinds of processes, such as VoterProcess
	host    string
	listen  string
	address string // where it listens for its part in the cluster
	dir     string
	relays  map[string]*harness.Relay // to voters, by their name; only where the connection can be delayed or cut
	client  *peerrpc.Client           // RPC client of the lab; for voters only

	mu     sync.Mutex // guards the fields below
	proc   *harness.Process
	starts int
	up     bool // the process runs, and nothing has begun to end it
}

// isUp reports whether the process runs and nothing has begun to end it.
func (c *sidecar) isUp() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.up
}

// markEnding marks the process as being ended. It returns false if it was not up: somebody else ends it, or it has ended.
func (c *sidecar) markEnding() (*harness.Process, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wasUp := c.up
	c.up = false
	return c.proc, wasUp
}

// start starts the process and waits until it is ready.
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

// operatorFile returns the process's operator.toml, with its data directory.
func (c *sidecar) operatorFile(data string) string {
	s := c.run.scenario
	f := harness.ClusterFile{Name: s.Name, Address: c.address, Data: data, Lease: s.Lease, Drift: s.Drift, Slack: s.Slack,
		ContradictAtMost: s.ContradictAtMost, Copies: s.Copies, OutcomeLifetime: s.Keep, LostAfter: s.LostAfter}
	for _, v := range c.run.voters {
		address := v.address
		if relay := c.relays[v.name]; relay != nil {
			address = relay.Address()
		}
		f.Voters = append(f.Voters, harness.NamedAddress{Name: v.name, Address: address})
	}
	return f.Text()
}

// usage returns the resources that the process has used since its start, from /proc.
func (c *sidecar) usage() (Usage, error) {
	c.mu.Lock()
	proc, u := c.proc, Usage{At: bootTime(), Start: c.starts}
	up := c.up
	c.mu.Unlock()
	if proc == nil || !up {
		return u, errors.New("the process does not run")
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

// close kills the process, and closes its RPC client and relays.
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

// emulatedProcess is a child process that runs emulated members. The lab sends it commands, and it reports events, as lines of JSON.
type emulatedProcess struct {
	run  *run
	name string
	// members are those that this process runs.
	members []emulated.Peer
	cmd     *exec.Cmd
	in      io.WriteCloser
	ready   chan struct{} // closed when all members listen
	// exited is closed when the process has ended.
	exited chan struct{}

	writeMu sync.Mutex // guards in
	mu      sync.Mutex // guards the fields below
	lastID  int        // of the last command
	// waiting holds, by command ID, the channels that receive the answers.
	waiting map[int]chan emulated.Output
	fault   string // the last error that the process reported
	closing bool   // the lab has begun to end the process
}

// startEmulated starts a process of emulated members and sends it start, which names the members to run.
func (r *run) startEmulated(name string, start emulated.Start) (*emulatedProcess, error) {
	p := &emulatedProcess{run: r, name: name, members: start.Members, cmd: r.opts.Emulated(), ready: make(chan struct{}), exited: make(chan struct{}),
		waiting: map[int]chan emulated.Output{}}
	// The process has its own process group, so that an interrupt from the terminal reaches only the lab, and it is killed if the lab is
	// killed. Sidecars of the test harness are started in the same way.
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

// readOutput handles each line of the process's output until the process has ended. If the lab had not begun to end it, that is a failure
// of the run.
func (p *emulatedProcess) readOutput(out io.Reader, log *os.File) {
	defer close(p.exited)
	lines := bufio.NewScanner(out)
	lines.Buffer(make([]byte, 0, 64<<10), maxJSONLine)
	for lines.Scan() {
		var l emulated.Output
		if err := json.Unmarshal(lines.Bytes(), &l); err != nil {
			p.setFault(fmt.Sprintf("malformed line of output: %v", err))
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
	io.Copy(io.Discard, out) //nolint:errcheck // if a line was too long, read the rest, so that the process does not block
	p.cmd.Wait()             //nolint:errcheck // only that it has ended matters
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

// setFault records an error that the process reported.
func (p *emulatedProcess) setFault(fault string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
}

// lastFault returns the last error that the process reported.
func (p *emulatedProcess) lastFault() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// command sends a command to the process and waits for its answer.
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
		return emulated.Output{}, fmt.Errorf("%s: the process has ended", p.name)
	case <-timer.C:
		p.mu.Lock()
		delete(p.waiting, c.ID)
		p.mu.Unlock()
		return emulated.Output{}, fmt.Errorf("%s: %s: no answer after %v", p.name, c.Do, timeout)
	}
}

// close ends the process: it closes the process's input, and kills the process if it has not ended within killTimeout.
func (p *emulatedProcess) close() {
	p.mu.Lock()
	p.closing = true
	p.mu.Unlock()
	p.in.Close() // at the end of its input the process stops all its members and ends
	select {
	case <-p.exited:
		return
	case <-time.After(killTimeout):
	}
	p.cmd.Process.Kill() //nolint:errcheck // it may have ended by itself
	<-p.exited
}
