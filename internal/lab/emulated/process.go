package emulated

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"heathgap/internal/env"
)

// Figures of a process.
const (
	stateInterval  = 10 * time.Millisecond // an event is late by that at most, when the process does not lag
	lagInterval    = 10 * time.Millisecond
	maxLineBytes   = 16 << 20        // bytes of a line that it is told
	cleanupTimeout = 2 * time.Second // for what is left of members to end, at its end
)

// process is a process of hollow members.
type process struct {
	start          *Start
	log            zerolog.Logger
	paths          *regionPaths
	voterAddresses map[string]bool // addresses
	members        []*emulatedMember
	byName         map[string]*emulatedMember
	regions        map[string]bool
	cleanup        sync.WaitGroup // what is left of members that were killed
	done           chan struct{}

	outMu sync.Mutex
	out   *json.Encoder

	lag struct {
		sync.Mutex
		worst time.Duration // since the last sample
	}
}

// Run is a process of hollow members: it is told on in, and says on out. It ends with the command to, or when in ends, and
// whoever it runs then is gone in that moment. Its error is what it was told wrongly, or what it could not start.
//
// It runs with the runtime's defaults: GOMAXPROCS of all processors, since a hundred members on one would wait for one another
// (a real sidecar runs on one), and GOGC at 100 as a real one has, so that its memory shows what members cost and not a
// collector that was told to rest. There is no limit of memory: a hundred sidecars' would never bind.
func Run(in io.Reader, out io.Writer, log zerolog.Logger) error {
	p := &process{log: log, byName: map[string]*emulatedMember{}, voterAddresses: map[string]bool{}, regions: map[string]bool{}, done: make(chan struct{}),
		out: json.NewEncoder(out)}
	lines := bufio.NewScanner(in)
	lines.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	if err := p.run(lines); err != nil {
		p.write(Output{Error: err.Error()})
		return err
	}
	return nil
}

func (p *process) run(lines *bufio.Scanner) error {
	if !lines.Scan() {
		return errors.Join(errors.New("start: missing; allowed: a line of JSON that says what to start"), lines.Err())
	}
	p.start = &Start{}
	if err := decode(lines.Bytes(), p.start); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	if err := p.start.validate(); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	regions := p.start.regionsByAddress()
	p.paths = newRegionPaths(regions, p.start.RegionDelay)
	for _, r := range regions {
		p.regions[r] = r != ""
	}
	for _, v := range p.start.Voters {
		p.voterAddresses[v.Address] = true
	}
	for _, peer := range p.start.Members {
		m := &emulatedMember{process: p, peer: peer, fault: p.start.Faults[peer.Name]}
		m.setRate(p.start.KeyedRate)
		p.members, p.byName[peer.Name] = append(p.members, m), m
	}
	defer p.killAll()
	if err := p.begin(p.members); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	go p.checkStates()
	go p.measureLag()
	p.write(Output{Ready: true})
	for lines.Scan() {
		var c Command
		if err := decode(lines.Bytes(), &c); err != nil {
			return fmt.Errorf("command: %w", err)
		}
		last, err := p.do(&c)
		if last || err != nil {
			return err
		}
	}
	return lines.Err()
}

// decode reads one line of JSON that has nothing unknown.
func decode(line []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(line))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return fmt.Errorf("%w; allowed: what internal/lab/emulated says of it", err)
	}
	return nil
}

// write writes a line. Whoever leads the process reads them all: else it stands still.
func (p *process) write(o Output) {
	p.outMu.Lock()
	defer p.outMu.Unlock()
	p.out.Encode(o) //nolint:errcheck // nobody is there to be told; the end of standard input ends it
}

// killAll has all members gone.
func (p *process) killAll() {
	close(p.done)
	for _, m := range p.members {
		m.kill() //nolint:errcheck // it is gone already
	}
	done := make(chan struct{})
	go func() {
		p.cleanup.Wait()
		close(done)
	}()
	timer := time.NewTimer(cleanupTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// forEach does something for members at once, and joins what went wrong.
func forEach(members []*emulatedMember, do func(*emulatedMember) error) error {
	errs := make([]error, len(members))
	var running sync.WaitGroup
	for i, m := range members {
		running.Go(func() {
			if err := do(m); err != nil {
				errs[i] = fmt.Errorf("%s: %w", m.peer.Name, err)
			}
		})
	}
	running.Wait()
	return summarize(errs)
}

// summarize is one line of what went wrong.
func summarize(errs []error) error {
	var first error
	more := 0
	for _, err := range errs {
		switch {
		case err == nil:
		case first == nil:
			first = err
		default:
			more++
		}
	}
	if more > 0 {
		return fmt.Errorf("%w; and %d members more", first, more)
	}
	return first
}

// begin starts members and waits until they listen. One that can't is gone.
func (p *process) begin(members []*emulatedMember) error {
	return forEach(members, func(m *emulatedMember) error {
		inst, err := m.begin()
		if err != nil {
			return err
		}
		if err = inst.awaitListening(); err != nil {
			m.kill() //nolint:errcheck // it was killed meanwhile
		}
		return err
	})
}

// do carries out a command and answers it; over tells that it was the last. What takes time goes on beside further commands.
// An error ends the process: who says what it does not know can't be heeded.
func (p *process) do(c *Command) (last bool, err error) {
	answer := func(err error) {
		o := Output{ID: c.ID}
		if err != nil {
			o.Error = fmt.Sprintf("%s: %v", c.Do, err)
		}
		p.write(o)
	}
	members, err := p.membersNamed(c.Members)
	if err != nil {
		answer(err)
		return false, nil
	}
	switch c.Do {
	case Kill:
		var errs []error
		for _, m := range members {
			if err := m.kill(); err != nil {
				errs = append(errs, fmt.Errorf("%s: %w", m.peer.Name, err))
			}
		}
		answer(summarize(errs))
	case Leave:
		go func() { answer(forEach(members, (*emulatedMember).leave)) }()
	case Restart:
		go func() { answer(p.begin(members)) }()
	case Partition, Heal:
		answer(p.partitioned(c.Regions, c.Do == Partition))
	case SetKeyedRate:
		if err := p.start.validateKeyedRate(c.KeyedRate); err != nil {
			answer(err)
			break
		}
		for _, m := range members {
			m.setRate(c.KeyedRate)
		}
		answer(nil)
	case Sample:
		s, err := p.sample(members)
		if err != nil {
			answer(err)
			break
		}
		p.write(Output{ID: c.ID, Sample: s})
	case End:
		answer(nil)
		return true, nil
	default:
		return true, fmt.Errorf("command %d: do: %q; allowed: %s", c.ID, c.Do,
			strings.Join([]string{Kill, Leave, Restart, Partition, Heal, SetKeyedRate, Sample, End}, ", "))
	}
	return false, nil
}

// membersNamed are the members of such names; all for none.
func (p *process) membersNamed(names []string) ([]*emulatedMember, error) {
	if len(names) == 0 {
		return p.members, nil
	}
	var out []*emulatedMember
	for _, name := range names {
		m := p.byName[name]
		if m == nil {
			return nil, fmt.Errorf("%s: no member of this process", name)
		}
		out = append(out, m)
	}
	return out, nil
}

func (p *process) partitioned(regions [2]string, partitioned bool) error {
	for _, r := range regions {
		if !p.regions[r] {
			return fmt.Errorf("region %q: nothing stands there", r)
		}
	}
	if regions[0] == regions[1] {
		return fmt.Errorf("regions: %q twice; allowed: two", regions[0])
	}
	p.paths.between(regions[0], regions[1]).setPartitioned(partitioned)
	return nil
}

// checkStates looks at all members again and again. A look is a load of a pointer and of the clock.
func (p *process) checkStates() {
	ticker := time.NewTicker(stateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.done:
			return
		case <-ticker.C:
		}
		for _, m := range p.members {
			m.checkState()
		}
	}
}

// measureLag measures by how much this process's own timers come late.
func (p *process) measureLag() {
	timer := time.NewTimer(lagInterval)
	defer timer.Stop()
	for {
		due := time.Now().Add(lagInterval)
		timer.Reset(lagInterval)
		select {
		case <-p.done:
			return
		case <-timer.C:
		}
		late := time.Since(due)
		p.lag.Lock()
		p.lag.worst = max(p.lag.worst, late)
		p.lag.Unlock()
	}
}

// sample tells what the process, and these members of it, have cost.
func (p *process) sample(members []*emulatedMember) (*Usage, error) {
	s := &Usage{At: (env.Real{}).BootTime(), Members: map[string]MemberUsage{}}
	for _, m := range members {
		s.Members[m.peer.Name] = m.usage()
	}
	p.lag.Lock()
	s.Lag, p.lag.worst = p.lag.worst, 0
	p.lag.Unlock()
	return s, s.measure()
}

// measure fills in what the process takes of the machine.
func (s *Usage) measure() error {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return fmt.Errorf("getrusage: %w", err)
	}
	s.CPU = time.Duration(u.Utime.Nano() + u.Stime.Nano())
	status, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return err
	}
	for line := range strings.SplitSeq(string(status), "\n") {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(value, "kB")), 10, 64)
			if err != nil {
				return fmt.Errorf("/proc/self/status: VmRSS: %w", err)
			}
			s.RSSBytes = kb << 10
		}
	}
	files, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return err
	}
	s.Descriptors = len(files) - 1 // one is that of the folder
	s.Goroutines = runtime.NumGoroutine()
	return nil
}
