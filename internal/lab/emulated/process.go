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
	lookEvery = 10 * time.Millisecond // an event is late by that at most, when the process does not lag
	lagEvery  = 10 * time.Millisecond
	mostLine  = 16 << 20        // bytes of a line that it is told
	buryTime  = 2 * time.Second // for what is left of members to end, at its end
)

// process is a process of hollow members.
type process struct {
	start   *Start
	log     zerolog.Logger
	ways    *ways
	keepers map[string]bool // addresses
	members []*hollow
	byName  map[string]*hollow
	regions map[string]bool
	buried  sync.WaitGroup // what is left of members that were killed
	halt    chan struct{}

	saying sync.Mutex
	out    *json.Encoder

	lag struct {
		sync.Mutex
		most time.Duration // since the last sample
	}
}

// Run is a process of hollow members: it is told on in, and says on out. It ends with the command to, or when in ends, and
// whoever it runs then is gone in that moment. Its error is what it was told wrongly, or what it could not start.
//
// It runs with the runtime's defaults: GOMAXPROCS of all processors, since a hundred members on one would wait for one another
// (a real sidecar runs on one), and GOGC at 100 as a real one has, so that its memory shows what members cost and not a
// collector that was told to rest. There is no limit of memory: a hundred sidecars' would never bind.
func Run(in io.Reader, out io.Writer, log zerolog.Logger) error {
	p := &process{log: log, byName: map[string]*hollow{}, keepers: map[string]bool{}, regions: map[string]bool{}, halt: make(chan struct{}),
		out: json.NewEncoder(out)}
	lines := bufio.NewScanner(in)
	lines.Buffer(make([]byte, 0, 64<<10), mostLine)
	if err := p.run(lines); err != nil {
		p.say(Output{Error: err.Error()})
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
	if err := p.start.check(); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	regions := p.start.regions()
	p.ways = newWays(regions, p.start.RegionDelay)
	for _, r := range regions {
		p.regions[r] = r != ""
	}
	for _, k := range p.start.Voters {
		p.keepers[k.Address] = true
	}
	for _, place := range p.start.Members {
		h := &hollow{process: p, place: place, fault: p.start.Faults[place.Name]}
		h.setRate(p.start.KeyedRate)
		p.members, p.byName[place.Name] = append(p.members, h), h
	}
	defer p.end()
	if err := p.begin(p.members); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	go p.watch()
	go p.clock()
	p.say(Output{Ready: true})
	for lines.Scan() {
		var c Command
		if err := decode(lines.Bytes(), &c); err != nil {
			return fmt.Errorf("command: %w", err)
		}
		over, err := p.do(&c)
		if over || err != nil {
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

// say writes a line. Whoever leads the process reads them all: else it stands still.
func (p *process) say(l Output) {
	p.saying.Lock()
	defer p.saying.Unlock()
	p.out.Encode(l) //nolint:errcheck // nobody is there to be told; the end of standard input ends it
}

// end has all members gone.
func (p *process) end() {
	close(p.halt)
	for _, h := range p.members {
		h.kill() //nolint:errcheck // it is gone already
	}
	done := make(chan struct{})
	go func() {
		p.buried.Wait()
		close(done)
	}()
	timer := time.NewTimer(buryTime)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// each does something for members at once, and joins what went wrong.
func each(members []*hollow, do func(*hollow) error) error {
	faults := make([]error, len(members))
	var all sync.WaitGroup
	for i, h := range members {
		all.Go(func() {
			if err := do(h); err != nil {
				faults[i] = fmt.Errorf("%s: %w", h.place.Name, err)
			}
		})
	}
	all.Wait()
	return brief(faults)
}

// brief is one line of what went wrong.
func brief(faults []error) error {
	var first error
	more := 0
	for _, err := range faults {
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
func (p *process) begin(members []*hollow) error {
	return each(members, func(h *hollow) error {
		l, err := h.begin()
		if err != nil {
			return err
		}
		if err = l.awaitListening(); err != nil {
			h.kill() //nolint:errcheck // it was killed meanwhile
		}
		return err
	})
}

// do carries out a command and answers it; over tells that it was the last. What takes time goes on beside further commands.
// An error ends the process: who says what it does not know can't be heeded.
func (p *process) do(c *Command) (over bool, err error) {
	answer := func(err error) {
		l := Output{ID: c.ID}
		if err != nil {
			l.Error = fmt.Sprintf("%s: %v", c.Do, err)
		}
		p.say(l)
	}
	members, err := p.named(c.Members)
	if err != nil {
		answer(err)
		return false, nil
	}
	switch c.Do {
	case Kill:
		var faults []error
		for _, h := range members {
			if err := h.kill(); err != nil {
				faults = append(faults, fmt.Errorf("%s: %w", h.place.Name, err))
			}
		}
		answer(brief(faults))
	case Leave:
		go func() { answer(each(members, (*hollow).leave)) }()
	case Restart:
		go func() { answer(p.begin(members)) }()
	case Partition, Heal:
		answer(p.cut(c.Regions, c.Do == Partition))
	case Order:
		if err := p.start.checkRate(c.Orders); err != nil {
			answer(err)
			break
		}
		for _, h := range members {
			h.setRate(c.Orders)
		}
		answer(nil)
	case Sample:
		s, err := p.sample(members)
		if err != nil {
			answer(err)
			break
		}
		p.say(Output{ID: c.ID, Sample: s})
	case End:
		answer(nil)
		return true, nil
	default:
		return true, fmt.Errorf("command %d: do: %q; allowed: %s", c.ID, c.Do,
			strings.Join([]string{Kill, Leave, Restart, Partition, Heal, Order, Sample, End}, ", "))
	}
	return false, nil
}

// named are the members of such names; all for none.
func (p *process) named(names []string) ([]*hollow, error) {
	if len(names) == 0 {
		return p.members, nil
	}
	var out []*hollow
	for _, name := range names {
		h := p.byName[name]
		if h == nil {
			return nil, fmt.Errorf("%s: no member of this process", name)
		}
		out = append(out, h)
	}
	return out, nil
}

func (p *process) cut(regions [2]string, cut bool) error {
	for _, r := range regions {
		if !p.regions[r] {
			return fmt.Errorf("region %q: nothing stands there", r)
		}
	}
	if regions[0] == regions[1] {
		return fmt.Errorf("regions: %q twice; allowed: two", regions[0])
	}
	p.ways.between(regions[0], regions[1]).set(cut)
	return nil
}

// watch looks at all members again and again. A look is a load of a pointer and of the clock.
func (p *process) watch() {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		select {
		case <-p.halt:
			return
		case <-ticker.C:
		}
		for _, h := range p.members {
			h.look()
		}
	}
}

// clock measures by how much this process's own timers come late.
func (p *process) clock() {
	timer := time.NewTimer(lagEvery)
	defer timer.Stop()
	for {
		due := time.Now().Add(lagEvery)
		timer.Reset(lagEvery)
		select {
		case <-p.halt:
			return
		case <-timer.C:
		}
		late := time.Since(due)
		p.lag.Lock()
		p.lag.most = max(p.lag.most, late)
		p.lag.Unlock()
	}
}

// sample tells what the process, and these members of it, have cost.
func (p *process) sample(members []*hollow) (*Usage, error) {
	s := &Usage{At: (env.Real{}).BootTime(), Members: map[string]MemberUsage{}}
	for _, h := range members {
		s.Members[h.place.Name] = h.sample()
	}
	p.lag.Lock()
	s.Lag, p.lag.most = p.lag.most, 0
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
