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

// Intervals and bounds of a process.
const (
	stateInterval  = 10 * time.Millisecond // the greatest delay of an event, while the process does not lag
	lagInterval    = 10 * time.Millisecond
	maxLineBytes   = 16 << 20        // of a line on standard input
	cleanupTimeout = 2 * time.Second // for killed members to end, when the process ends
)

// process runs the emulated members of one process.
type process struct {
	start          *Start
	log            zerolog.Logger
	paths          *regionPaths
	voterAddresses map[string]bool
	members        []*emulatedMember
	byName         map[string]*emulatedMember
	regions        map[string]bool // names of the regions that contain an address of the run
	cleanup        sync.WaitGroup  // goroutines that stop members that were killed
	done           chan struct{}   // closed when the process ends

	outMu sync.Mutex
	out   *json.Encoder

	lag struct {
		sync.Mutex
		worst time.Duration // since the last sample
	}
}

// Run runs a process of emulated members. It reads Start and the commands from in and writes an Output per line to out. It returns at
// the command End or when in ends; members that still run are then killed. It returns an error for an invalid line, or if a member
// could not start, and writes that error to out as well.
//
// The process should run with the defaults of the Go runtime. GOMAXPROCS is the number of processors (a real sidecar uses one),
// since a hundred members on one processor would wait for one another. GOGC is 100 as in a real sidecar, so that the memory shows
// what members cost and is not larger for a garbage collector that runs less often. There is no memory limit: one for a hundred
// sidecars would never be reached.
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

// run reads Start, starts the members and carries out commands until one of them, an error or the end of the input ends the process.
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

// decode decodes one line of JSON. Unknown fields are errors.
func decode(line []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(line))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return fmt.Errorf("%w; allowed: the fields that internal/lab/emulated defines", err)
	}
	return nil
}

// write writes a line. The parent must read all lines: otherwise writes block and the process stops.
func (p *process) write(o Output) {
	p.outMu.Lock()
	defer p.outMu.Unlock()
	p.out.Encode(o) //nolint:errcheck // without a parent nobody can be told, and the end of standard input ends the process
}

// killAll ends checkStates and measureLag, kills all members and waits, for up to cleanupTimeout, until they have ended.
func (p *process) killAll() {
	close(p.done)
	for _, m := range p.members {
		m.kill() //nolint:errcheck // fails only if the member does not run
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

// forEach calls do for all members concurrently and returns a summary of the errors.
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

// summarize returns the first error with the number of further ones, in one line; nil if there is none.
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
		return fmt.Errorf("%w; and %d more members", first, more)
	}
	return first
}

// begin starts members and waits until they listen. It kills those that don't.
func (p *process) begin(members []*emulatedMember) error {
	return forEach(members, func(m *emulatedMember) error {
		inst, err := m.begin()
		if err != nil {
			return err
		}
		if err = inst.awaitListening(); err != nil {
			m.kill() //nolint:errcheck // fails only if the member was killed in the meantime
		}
		return err
	})
}

// do carries out a command and answers it. last reports that it was the last command. Commands that take time run concurrently with
// further commands. An unknown command is an error that ends the process, since what its parent wants can't be known.
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
		answer(p.setPartition(c.Regions, c.Do == Partition))
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

// membersNamed returns the members with the given names; all members if no name is given.
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

// setPartition starts or ends a partition between two regions.
func (p *process) setPartition(regions [2]string, partitioned bool) error {
	for _, r := range regions {
		if !p.regions[r] {
			return fmt.Errorf("region %q: no address of the run is in it", r)
		}
	}
	if regions[0] == regions[1] {
		return fmt.Errorf("regions: %q twice; allowed: two", regions[0])
	}
	p.paths.between(regions[0], regions[1]).setPartitioned(partitioned)
	return nil
}

// checkStates reports changes of the members' states until the process ends. It polls: a check locks the member and reads
// its status.
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

// measureLag measures by how much the timers of this process expire late.
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

// sample returns the resources that the process and the given members have used, and resets the greatest lag.
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

// measure fills in what the process uses: processor time, memory, file descriptors and goroutines.
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
	s.Descriptors = len(files) - 1 // one is that of the directory itself
	s.Goroutines = runtime.NumGoroutine()
	return nil
}
