package harness

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"heathgap/decide"
	"heathgap/internal/cluster"
	"heathgap/internal/cluster/member"
	"heathgap/internal/cluster/voter"
	"heathgap/internal/env"
	"heathgap/internal/lab/consistency"
	"heathgap/internal/lab/scenario"
	"heathgap/internal/peerrpc"
	"heathgap/internal/versions"
)

// A crew of real processes with relays between them: faults on the ways and of the processes, a load that endpoints
// count, and a book (internal/lab/consistency) that judges from outside.

// Figures of a crew's rig.
const (
	crewEndpoints  = 4
	pollCrew       = 40 * time.Millisecond  // each process is asked so often what it acts on
	pollTime       = 500 * time.Millisecond // for one answer: a process may be stopped
	probeEvery     = 200 * time.Millisecond // a request that all endpoints break off: is it sent again?
	probedClass    = "pay"
	loadClass      = "look"
	crewMargin     = 250 * time.Millisecond // for a poll, its answer and a busy machine
	leaderTime     = 15 * time.Second       // for a crew to form and to have a leader
	proposeTime    = 2 * time.Second        // for one try of a proposal
	leastAttempts  = 2                      // with two a probe shows whether it may be sent again, at one retry's price
	settleFor      = 1500 * time.Millisecond
	twinMark       = "'"
	hangUpAfter    = time.Millisecond // a proposer that dies: its word is out, and no answer can have come
	crewDeadlineMS = 800.0
	crewKeep       = 2 * time.Minute
	crewLostAfter  = 10 * time.Second
)

// ClusterOptions are those of a run.
type ClusterOptions struct {
	Program  func() *exec.Cmd // a command that runs one member
	LogDir   string           // for the processes' logs; empty for none
	Dir      string           // for their files; empty for one of the run's own, which ends with it
	Progress func(line string)
	// OlderProgram is a command that runs one member of an older build, for the step of that name; nil for none.
	OlderProgram func() *exec.Cmd
	// Separate starts the processes without a crew, each with its own rules: what the crew prevents shows so.
	Separate bool
}

// ClusterRecord is what a run came to.
type ClusterRecord struct {
	Name          string   `json:"name"`
	Seed          uint64   `json:"seed"`
	Processes     int      `json:"processes"`
	Steps         []string `json:"steps"` // as they were played
	NumViolations int      `json:"broken"`
	Violations    []string `json:"breaks,omitempty"`
	// Contradicted is the longest that an act went on which another member held forbidden.
	Contradicted     float64            `json:"contradicted_ms"`
	MaxContradiction float64            `json:"contradict_at_most_ms"`
	Acts             int                `json:"acts"`
	Against          int                `json:"acts_against"`
	Requests         int                `json:"asked"`
	Served           int                `json:"served"`
	Versions         []ClusterVersion   `json:"versions,omitempty"`
	Leaders          map[uint64]string  `json:"leaders,omitempty"`   // by term
	Replaced         []string           `json:"replaced,omitempty"`  // keepers whose folder was lost
	LeaderMS         []float64          `json:"leader_ms,omitempty"` // from each strike on a leader until another one was heard of
	CautiousMS       map[string]float64 `json:"cautious_ms,omitempty"`
	WholeMS          []float64          `json:"whole_ms,omitempty"` // from each lost process until all it held had its copies elsewhere
	Orders           *KeyedRecord       `json:"orders,omitempty"`
	RSSMB            map[string]float64 `json:"rss_mb"` // of the last start
	CPU              map[string]float64 `json:"cpu_s"`  // of the last start
}

// ClusterVersion is how one proposal went.
type ClusterVersion struct {
	Number   uint64  `json:"number"`
	State    string  `json:"state"`
	Why      string  `json:"why,omitempty"`
	ActiveMS float64 `json:"active_ms,omitempty"` // until the last live member acted on it alone
}

// crewProc is one process over all its starts.
type crewProc struct {
	name    string        // in the run; that of a second process of a name has twinMark behind it
	goes    string        // the name that it is started with
	older   bool          // it is to be started as an older build
	other   atomic.Uint64 // 1 once it was started with other rules, without a crew
	host    string
	listen  string
	address string // of its part in the crew
	dir     string
	starts  int
	proc    *process
	line    *peerrpc.Client

	mu   sync.Mutex
	up   bool // it runs, and is not stopped
	busy bool // a fault of the process itself has not ended
}

// crewRig is a run.
type crewRig struct {
	scene *scenario.Cluster
	opts  ClusterOptions
	seed  uint64
	dir   string
	hosts *hosts
	began time.Time

	procs   []*crewProc
	relays  map[[2]string]*relay // from one process to a keeper
	folders map[string]uint64    // keepers' ids when the crew was formed
	ends    []*crewEndpoint

	mu       sync.Mutex // guards book and what follows
	book     *consistency.Checker
	rec      ClusterRecord
	leader   string // as last said
	lastTerm uint64
	lastTold uint64
	losing   string                   // a keeper whose folder is lost and not replaced yet; empty for none
	lostID   uint64                   // the lost folder's
	struck   time.Duration            // when the leader was killed or stopped; 0 once another one leads
	pending  map[uint64]time.Duration // versions on their way, and when they were proposed
	lastAt   map[string]member.Status
	cautious map[string]time.Duration
	asked    atomic.Int64
	served   atomic.Int64
	ids      sync.Map     // of probes that have come to an endpoint
	cuts     atomic.Int64 // that have not ended
	orders   *orders
}

// seen tells whether a probe has come before.
func (r *crewRig) seen(id string) bool {
	_, before := r.ids.LoadOrStore(id, struct{}{})
	return before
}

func (r *crewRig) now() time.Duration { return time.Since(r.began) }

func (r *crewRig) note(format string, args ...any) {
	line := fmt.Sprintf("%6.2fs ", r.now().Seconds()) + fmt.Sprintf(format, args...)
	r.mu.Lock()
	r.rec.Steps = append(r.rec.Steps, line)
	r.mu.Unlock()
	if r.opts.Progress != nil {
		r.opts.Progress(line)
	}
}

// RunCluster plays a crew's scenario.
func RunCluster(ctx context.Context, scene *scenario.Cluster, seed uint64, opts ClusterOptions) (*ClusterRecord, error) {
	dir, err := opts.Dir, error(nil)
	if dir == "" {
		if dir, err = os.MkdirTemp("", "heathgap-crew-"); err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
	}
	r := &crewRig{
		scene: scene, opts: opts, seed: seed, dir: dir, hosts: newHosts(), began: time.Now(), relays: map[[2]string]*relay{},
		book: consistency.New(consistency.Conf{MaxContradiction: scene.ContradictAtMost, Margin: crewMargin}), pending: map[uint64]time.Duration{},
		lastAt: map[string]member.Status{}, cautious: map[string]time.Duration{},
		rec: ClusterRecord{Name: scene.Name, Seed: seed, Processes: scene.Voters + scene.Members, Leaders: map[uint64]string{},
			RSSMB: map[string]float64{}, CPU: map[string]float64{},
			MaxContradiction: millis(scene.ContradictAtMost)},
	}
	r.book.RecordVersion(0, consistency.Forbidden{})
	r.orders = newOrders(r)
	defer r.close()
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	playing, done := context.WithCancel(ctx)
	var all sync.WaitGroup
	for _, p := range r.procs {
		all.Go(func() { r.poll(playing, p) })
		all.Go(func() { r.probe(playing, p) })
		all.Go(func() { r.load(playing, p) })
	}
	ordering, enough := context.WithCancel(playing)
	defer enough()
	ordered := make(chan struct{})
	go func() {
		defer close(ordered)
		if r.scene.KeyedRate > 0 {
			r.orders.run(ordering)
		}
	}()
	err = r.play(ctx)
	enough()
	<-ordered
	if err == nil {
		err = r.settle(ctx)
	}
	done()
	all.Wait()
	if err != nil {
		return nil, err
	}
	r.judge()
	if r.scene.KeyedRate > 0 {
		r.orders.close(&r.rec)
	}
	return &r.rec, nil
}

// start starts endpoints, relays and processes, and waits until there is a leader.
func (r *crewRig) start(ctx context.Context) error {
	for i := range crewEndpoints {
		e, err := startCrewEndpoint(r, fmt.Sprintf("e-%d", i+1))
		if err != nil {
			return err
		}
		r.ends = append(r.ends, e)
	}
	var names []string
	for i := range r.scene.Voters {
		names = append(names, fmt.Sprintf("k%d", i+1))
	}
	for i := range r.scene.Members {
		names = append(names, fmt.Sprintf("m%d", i+1))
	}
	twins := 0
	for _, s := range r.scene.Steps {
		if twin := s.Who + twinMark; s.Do == "twin" && !slices.Contains(names, twin) {
			names = append(names, twin)
			twins++
		}
	}
	for _, name := range names {
		p := &crewProc{name: name, goes: strings.TrimSuffix(name, twinMark)}
		p.dir = filepath.Join(r.dir, p.name)
		var err error
		if p.host, err = r.hosts.take(); err != nil {
			return err
		}
		if p.listen, err = r.hosts.address(p.host); err != nil {
			return err
		}
		if p.address, err = r.hosts.address(p.host); err != nil {
			return err
		}
		p.line = peerrpc.NewClient(env.Real{}, r.scene.Name, "lab", p.address)
		r.procs = append(r.procs, p)
	}
	first := r.procs[:len(r.procs)-twins]
	reached := first // by each of the others: the keepers, and all where they hold something for one another
	if r.scene.Copies == 0 {
		reached = first[:r.scene.Voters]
	}
	for _, p := range r.procs {
		for _, k := range reached {
			if p == k {
				continue
			}
			host, err := r.hosts.take()
			if err != nil {
				return err
			}
			way, err := newRelay(host, k.address)
			if err != nil {
				return err
			}
			r.relays[[2]string{p.name, k.name}] = way
		}
	}
	var starting sync.WaitGroup
	faults := make([]error, len(first))
	for i, p := range first {
		starting.Go(func() { faults[i] = r.startProc(ctx, p) })
	}
	starting.Wait()
	if err := errors.Join(faults...); err != nil {
		return err
	}
	if r.opts.Separate {
		return nil
	}
	limit := time.Now().Add(leaderTime)
	for {
		ready := 0
		for _, p := range first {
			var a member.Status
			if p.line.Call("acting", struct{}{}, &a, pollTime) == nil && !a.Cautious {
				ready++
			}
		}
		if ready == len(first) {
			for _, p := range r.procs[:r.scene.Voters] { // for who is set back later
				if err := os.CopyFS(filepath.Join(p.dir, "copy"), os.DirFS(filepath.Join(p.dir, "data"))); err != nil {
					return err
				}
			}
			var st voter.Status
			if err := r.procs[0].line.Call("status", struct{}{}, &st, pollTime); err != nil {
				return err
			}
			r.folders = st.Ledger.Voters
			if r.opts.Dir != "" && r.opts.Progress != nil { // for who tries commands on them
				for _, p := range first {
					r.opts.Progress(fmt.Sprintf("%s: zone %s, callers at %s, process %d, files in %s", p.name, r.zone(p), p.listen, p.proc.cmd.Process.Pid, p.dir))
				}
			}
			r.note("%d processes hold a lease", ready)
			return nil
		}
		if time.Now().After(limit) || ctx.Err() != nil {
			return fmt.Errorf("only %d of %d processes hold a lease after %v; keep the logs (LogDir) and look there", ready, len(first), leaderTime)
		}
		time.Sleep(pollCrew)
	}
}

// operatorFile is what a process is told of the crew.
func (r *crewRig) operatorFile(p *crewProc) string {
	f := ClusterFile{
		Name: r.scene.Name, Address: p.address, Data: filepath.Join(p.dir, "data"), Lease: r.scene.Lease, Drift: r.scene.Drift, Slack: r.scene.Slack,
		ContradictAtMost: r.scene.ContradictAtMost, Copies: r.scene.Copies, Keep: crewKeep, LostAfter: crewLostAfter,
	}
	for _, k := range r.procs[:r.scene.Voters] {
		address := k.address
		if way := r.relays[[2]string{p.name, k.name}]; way != nil {
			address = way.address()
		}
		f.Voters = append(f.Voters, NamedAddress{k.name, address})
	}
	for _, q := range r.procs[r.scene.Voters:] {
		if way := r.relays[[2]string{p.name, q.name}]; way != nil {
			f.Ways = append(f.Ways, NamedAddress{q.name, way.address()})
		}
	}
	return f.Text()
}

// config is a process's configuration. effect is that of the probed class.
func (r *crewRig) config(p *crewProc, effect decide.Effect) ([]byte, error) {
	f := SidecarFile{
		Name: p.goes, Listen: p.listen, Host: p.host, Seed: r.seed + uint64(p.starts)*7919, Me: slices.Index(r.procs, p), Replicas: len(r.procs),
		Zone: r.zone(p), Effect: effect,
	}
	for _, e := range r.ends {
		f.Endpoints = append(f.Endpoints, NamedAddress{e.name, e.address})
	}
	return f.JSON()
}

// zone is where a process stands.
func (r *crewRig) zone(p *crewProc) string {
	return string(rune('a' + slices.Index(r.procs, p)%r.scene.Zones))
}

func (r *crewRig) startProc(ctx context.Context, p *crewProc) error {
	return r.startAs(ctx, p, decide.Safe)
}

func (r *crewRig) startAs(ctx context.Context, p *crewProc, effect decide.Effect) error {
	p.starts++
	if err := os.MkdirAll(filepath.Join(p.dir, "data"), 0o700); err != nil {
		return err
	}
	conf, err := r.config(p, effect)
	if err != nil {
		return err
	}
	confPath, operatorPath := filepath.Join(p.dir, "sidecar.json"), filepath.Join(p.dir, "operator.toml")
	if err := errors.Join(os.WriteFile(confPath, conf, 0o600), os.WriteFile(operatorPath, []byte(r.operatorFile(p)), 0o600)); err != nil {
		return err
	}
	cmd := r.opts.Program()
	if p.older {
		cmd = r.opts.OlderProgram()
	}
	if cmd.Env == nil {
		cmd.Env = os.Environ()
	}
	if !r.opts.Separate {
		cmd.Env = append(cmd.Env, "HEATHGAP_OPERATOR="+operatorPath)
	}
	logPath := ""
	if r.opts.LogDir != "" {
		logPath = filepath.Join(r.opts.LogDir, p.name+".log")
	}
	r.mu.Lock()
	r.book.RecordStart(r.now(), p.name)
	r.mu.Unlock()
	if p.proc, err = startProcess(cmd, p.name, confPath, logPath); err != nil {
		return err
	}
	if err := waitUp(ctx, p.listen, p.proc); err != nil {
		p.proc.end(syscall.SIGKILL)
		p.proc.wait(killTime)
		return fmt.Errorf("%s: %w: %s", p.name, err, p.proc.lastLine)
	}
	p.setUp(true)
	return nil
}

func (p *crewProc) setUp(up bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.up = up
}

// begin books a fault of the process itself; false while another one goes on: two would start it twice.
func (p *crewProc) begin() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy || !p.up {
		return false
	}
	p.busy = true
	return true
}

func (p *crewProc) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy = false
}

func (p *crewProc) isUp() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.up
}

// poll asks a process what it acts on, and a keeper who leads.
func (r *crewRig) poll(ctx context.Context, p *crewProc) {
	for ; ctx.Err() == nil; time.Sleep(pollCrew) {
		if r.opts.Separate {
			r.mu.Lock()
			r.book.RecordStatus(p.name, consistency.StatusReport{At: r.now(), Active: p.other.Load()})
			r.mu.Unlock()
			continue
		}
		var a member.Status
		asked := r.now()
		if !p.isUp() || p.line.Call("acting", struct{}{}, &a, pollTime) != nil {
			continue
		}
		r.mu.Lock()
		r.book.RecordStatus(p.name, consistency.StatusReport{At: asked, AnsweredAt: r.now(), Cautious: a.Cautious, Active: a.Active, Next: a.Next})
		if a.Cautious {
			r.cautious[p.name] += pollCrew
		}
		r.lastAt[p.name] = a
		r.arrivedAt(asked)
		r.mu.Unlock()
		if strings.HasPrefix(p.name, "k") {
			r.askLeader(p)
		}
	}
}

// arrivedAt books versions that every live process acts on alone.
func (r *crewRig) arrivedAt(now time.Duration) {
	for number, since := range r.pending {
		all, one := true, false
		for _, p := range r.procs {
			a, heard := r.lastAt[p.name]
			acts := heard && !a.Cautious && a.Active >= number
			one = one || acts && p.isUp()
			all = all && (acts || !p.isUp() || heard && a.Cautious)
		}
		if all && one {
			r.rec.Versions = append(r.rec.Versions, ClusterVersion{Number: number, State: "active", ActiveMS: millis(now - since)})
			delete(r.pending, number)
		}
	}
}

func (r *crewRig) askLeader(p *crewProc) {
	var s voter.Status
	if p.line.Call("status", struct{}{}, &s, pollTime) != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	// A keeper names the leader of its term; who leads says so itself.
	if s.Leader == "" {
		return
	}
	r.book.RecordLeader(r.now(), s.Term, s.Leader)
	if s.Leader == s.Name && r.losing != "" && s.Ledger.Voters[r.losing] != r.lostID {
		r.losing = "" // its new folder has the lost one's place
	}
	if r.rec.Leaders[s.Term] = s.Leader; s.Term >= r.lastTerm {
		if s.Term > r.lastTerm && r.struck > 0 {
			r.rec.LeaderMS = append(r.rec.LeaderMS, millis(r.now()-r.struck))
			r.struck = 0
		}
		r.leader, r.lastTerm = s.Leader, s.Term
	}
}

// load asks for what is served, at an even pace.
func (r *crewRig) load(ctx context.Context, p *crewProc) {
	client := &http.Client{Timeout: time.Duration(crewDeadlineMS) * time.Millisecond}
	defer client.CloseIdleConnections()
	pace := time.NewTicker(time.Duration(float64(time.Second) / r.scene.Rate))
	defer pace.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-pace.C:
		}
		if !p.isUp() {
			continue
		}
		code := r.get(client, p, loadClass, n)
		if !p.isUp() { // it was ended meanwhile: its client would have gone elsewhere
			continue
		}
		r.asked.Add(1)
		if code == http.StatusOK {
			r.served.Add(1)
		}
	}
}

// probe asks for what all endpoints break off.
func (r *crewRig) probe(ctx context.Context, p *crewProc) {
	client := &http.Client{Timeout: 2 * time.Duration(crewDeadlineMS) * time.Millisecond}
	defer client.CloseIdleConnections()
	pace := time.NewTicker(probeEvery)
	defer pace.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-pace.C:
			if p.isUp() {
				r.get(client, p, probedClass, n)
			}
		}
	}
}

func (r *crewRig) get(client *http.Client, p *crewProc, class string, n int) int {
	q, err := http.NewRequest(http.MethodGet, "http://"+p.listen+"/"+class+"/x", nil)
	if err != nil {
		return 0
	}
	q.Header.Set("X-Txn", fmt.Sprintf("%s.%d.%s%d", p.name, p.starts, class[:1], n))
	q.Header.Set("X-Remaining", "0.7")
	answer, err := client.Do(q)
	if err != nil {
		return 0
	}
	answer.Body.Close()
	return answer.StatusCode
}

// byName finds a process: by its name, or by its part.
func (r *crewRig) byName(who string) *crewProc {
	r.mu.Lock()
	leader := r.leader
	r.mu.Unlock()
	switch who {
	case "leader":
		who = leader
	case "follower":
		for _, p := range r.procs[:r.scene.Voters] {
			if p.name != leader && p.isUp() {
				who = p.name
				break
			}
		}
	}
	for _, p := range r.procs {
		if p.name == who {
			return p
		}
	}
	return r.procs[0]
}

// play plays the steps at their times.
func (r *crewRig) play(ctx context.Context) error {
	steps := slices.Clone(r.scene.Steps)
	steps = append(steps, r.draw()...)
	slices.SortStableFunc(steps, func(a, b scenario.ClusterStep) int { return int(a.At - b.At) })
	begin := r.now()
	var ends sync.WaitGroup
	defer ends.Wait()
	for _, s := range steps {
		if err := r.sleepUntil(ctx, begin+s.At); err != nil {
			return err
		}
		if err := r.strike(ctx, s, &ends); err != nil {
			return err
		}
	}
	return r.sleepUntil(ctx, begin+r.scene.Duration)
}

func (r *crewRig) sleepUntil(ctx context.Context, at time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(at - r.now()):
		return nil
	}
}

// draw draws the steps that follow from the seed.
func (r *crewRig) draw() []scenario.ClusterStep {
	dice := rand.New(rand.NewPCG(r.seed, 0xc4e3))
	var steps []scenario.ClusterStep
	span := r.scene.Duration - 2*r.scene.Lease
	for range r.scene.Random {
		at := time.Duration(dice.Int64N(int64(span)))
		who := []string{"leader", "follower", r.procs[dice.IntN(len(r.procs))].name}[dice.IntN(3)]
		do := scenario.ClusterFaults[dice.IntN(len(scenario.ClusterFaults))]
		steps = append(steps, scenario.ClusterStep{
			Drawn: true, At: at, Do: do, Who: who, Direction: scenario.CutDirections[dice.IntN(len(scenario.CutDirections))],
			For: r.scene.Lease/2 + time.Duration(dice.Int64N(int64(2*r.scene.Lease))),
		})
	}
	for i := range r.scene.Proposals {
		at := time.Duration(i+1) * span / time.Duration(r.scene.Proposals+1)
		s := scenario.ClusterStep{At: at, Do: "propose", Effect: "once"}
		if i%2 == 1 {
			s.Effect, s.Ban = "repeatable", r.ends[dice.IntN(len(r.ends))].name
		}
		steps = append(steps, s)
	}
	return steps
}

// strike plays one step; what it began ends after its time.
func (r *crewRig) strike(ctx context.Context, s scenario.ClusterStep, ends *sync.WaitGroup) error {
	if s.Do == "propose" && r.opts.Separate {
		return nil // there is nobody to propose it to
	}
	if s.Do == "propose" {
		ends.Go(func() { r.propose(ctx, s) })
		return nil
	}
	if s.Do == "older" && r.opts.OlderProgram == nil {
		return errors.New(`step "older": no program of an older build is named`)
	}
	if s.Do == "twin" {
		s.Who += twinMark
	}
	if s.Who == "keepers" || s.Who == "all" {
		for i, p := range r.procs {
			if one := s; s.Who == "all" || i < r.scene.Voters {
				one.Who = p.name
				if err := r.strike(ctx, one, ends); err != nil {
					return err
				}
			}
		}
		return nil
	}
	p := r.byName(s.Who)
	own := s.Do != "cut" && s.Do != "delay" && s.Do != "reset" && s.Do != "restart" && s.Do != "twin" // of the process itself
	if r.scene.Copies > 0 && (own || s.Do == "cut" && s.Drawn) && !r.mayLoseOne() {
		return nil // more at once than what is promised survives
	}
	if own && !p.begin() {
		return nil
	}
	if (s.Do == "wipe" || s.Do == "setback") && strings.HasPrefix(p.name, "k") && !r.mayLose(p) {
		s.Do = "kill" // what is promised survives the loss of one folder at a time
	}
	r.note("%s %s %s %s %v", s.Do, p.name, s.With, s.Direction, s.For)
	r.mu.Lock()
	if p.name == r.leader && (s.Do == "kill" || s.Do == "stop" && s.For > time.Second) {
		r.struck = r.now()
	}
	r.mu.Unlock()
	later := func(do func()) {
		ends.Go(func() {
			select {
			case <-ctx.Done():
			case <-time.After(s.For):
			}
			do()
			if own {
				p.end()
			}
		})
	}
	back := func() {
		if err := r.startProc(ctx, p); err != nil && ctx.Err() == nil {
			r.mu.Lock()
			r.rec.Violations = append(r.rec.Violations, "does not come back: "+err.Error())
			r.rec.NumViolations++
			r.mu.Unlock()
		}
		r.note("%s is back", p.name)
	}
	switch s.Do {
	case "kill", "wipe", "term", "setback":
		if r.scene.Copies > 0 && s.Do != "term" {
			if l := r.ledger(); l != nil {
				ends.Go(func() { r.awaitWhole(ctx, l.Members[p.goes].Token) })
			}
		}
		p.setUp(false)
		signal := syscall.SIGKILL
		if s.Do == "term" {
			signal = syscall.SIGTERM
		}
		p.proc.end(signal)
		later(func() {
			if !p.proc.wait(killTime) {
				p.proc.end(syscall.SIGKILL)
				p.proc.wait(killTime)
			}
			data := filepath.Join(p.dir, "data")
			if s.Do != "kill" && s.Do != "term" {
				os.RemoveAll(data)
			}
			if s.Do == "setback" {
				os.CopyFS(data, os.DirFS(filepath.Join(p.dir, "copy"))) //nolint:errcheck // without a copy it is a wipe
				back()
				// The operator finds the keeper's line and does as it says.
				time.Sleep(r.scene.Lease)
				p.setUp(false)
				p.proc.end(syscall.SIGKILL)
				p.proc.wait(killTime)
				os.RemoveAll(data)
			}
			back()
		})
	case "older": // replaced by one, and put back
		p.older = true
		p.setUp(false)
		p.proc.end(syscall.SIGKILL)
		p.proc.wait(killTime)
		back()
		later(func() {
			p.older = false
			p.setUp(false)
			p.proc.end(syscall.SIGKILL)
			p.proc.wait(killTime)
			back()
		})
	case "twin":
		back()
		later(func() {
			p.setUp(false)
			p.proc.end(syscall.SIGKILL)
			p.proc.wait(killTime)
			r.note("%s is gone", p.name)
		})
	case "stop":
		p.setUp(false)
		p.proc.signal(syscall.SIGSTOP)
		later(func() {
			p.proc.signal(syscall.SIGCONT)
			p.setUp(true)
			r.note("%s goes on", p.name)
		})
	case "delay":
		r.ways(p, s.With, s.Direction, func(w *relay, way int) { w.slow(way, s.By) })
		later(func() {
			r.ways(p, s.With, s.Direction, func(w *relay, way int) { w.slow(way, -s.By) })
			r.note("%s is as fast as before", p.name)
		})
	case "cut":
		r.cuts.Add(1)
		r.ways(p, s.With, s.Direction, func(w *relay, way int) { w.set(way, true) })
		later(func() {
			r.ways(p, s.With, s.Direction, func(w *relay, way int) { w.set(way, false) })
			r.cuts.Add(-1)
			r.note("%s is whole again", p.name)
		})
	case "full": // no file of it may grow, nor be written past its first page: as on a full disk
		limit := &unix.Rlimit{Cur: 4096, Max: unix.RLIM_INFINITY}
		if err := unix.Prlimit(p.proc.cmd.Process.Pid, unix.RLIMIT_FSIZE, limit, nil); err != nil {
			return err
		}
		later(func() { // room again: the keeper takes part when its process is started anew
			p.setUp(false)
			p.proc.end(syscall.SIGKILL)
			p.proc.wait(killTime)
			back()
		})
	case "reset":
		for ways, way := range r.relays {
			if ways[0] == p.name || ways[1] == p.name {
				way.reset()
			}
		}
	case "restart": // without a crew: with other rules
		p.setUp(false)
		p.proc.end(syscall.SIGKILL)
		p.proc.wait(killTime)
		r.mu.Lock()
		r.book.RecordVersion(1, consistency.Forbidden{Resend: true})
		r.mu.Unlock()
		p.other.Store(1)
		return r.startAs(ctx, p, decide.Unsafe)
	}
	return nil
}

// mayLose books that a keeper loses its folder, if no other one is lost.
func (r *crewRig) mayLose(p *crewProc) bool {
	var st voter.Status
	if p.line.Call("status", struct{}{}, &st, pollTime) != nil || st.Ledger == nil || !p.isUp() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.losing != "" {
		return false
	}
	r.losing, r.lostID = p.name, st.Ledger.Voters[p.name]
	return true
}

// ways does something with the ways of a process to another one, or to all: what comes to it ("in"), what it says ("out"), or both.
func (r *crewRig) ways(p *crewProc, with, way string, do func(w *relay, way int)) {
	for ways, relay := range r.relays {
		out, in, other := there, back, ways[1] // of a way that begins at the process
		switch p.name {
		case ways[0]:
		case ways[1]:
			out, in, other = back, there, ways[0]
		default:
			continue
		}
		if with != "" && with != other {
			continue
		}
		if way != "in" {
			do(relay, out)
		}
		if way != "out" {
			do(relay, in)
		}
	}
}

// propose proposes a version at whichever keeper leads, until it is told or refused.
func (r *crewRig) propose(ctx context.Context, s scenario.ClusterStep) {
	id := voter.NewID()
	limit := time.Now().Add(r.scene.Duration)
	for i := 0; ctx.Err() == nil && time.Now().Before(limit); i++ {
		p := r.procs[i%r.scene.Voters]
		var st voter.Status
		if !p.isUp() || p.line.Call("status", struct{}{}, &st, pollTime) != nil || st.Ledger == nil || st.Leader != p.name {
			time.Sleep(pollCrew)
			continue
		}
		doc := st.Ledger.Active.Doc
		effect := decide.Safe
		for e, word := range versions.EffectNames {
			if word == s.Effect {
				effect = e
			}
		}
		doc.Classes = maps.Clone(doc.Classes)
		if s.Effect != "" {
			if doc.Classes == nil {
				doc.Classes = map[string]versions.Class{}
			}
			doc.Classes[probedClass] = versions.Class{Effect: effect}
		}
		doc.Banned = nil
		if s.Ban != "" {
			doc.Banned = []string{s.Ban}
		}
		r.mu.Lock()
		next := st.Ledger.LastNumber + 1
		// Before anybody can act on it. A keeper that was cut off may still think that it leads, and name a number that has
		// been told: that one stands.
		if next <= r.lastTold {
			r.mu.Unlock()
			time.Sleep(pollCrew)
			continue
		}
		r.book.RecordVersion(next, consistency.Forbidden{Resend: doc.Classes[probedClass].Effect == decide.Unsafe, Banned: doc.Banned})
		r.mu.Unlock()
		began := r.now()
		var told voter.ProposeResult
		proposal := cluster.Proposal{ID: id, Parent: st.Ledger.Active.Number, Author: "lab", Doc: doc}
		var err error
		if s.ProposerDies && i == 0 {
			err = r.sayAndDie(p, proposal, &told)
		} else {
			err = p.line.Call("propose", proposal, &told, proposeTime)
		}
		if err == nil && told.Number > 0 {
			r.mu.Lock()
			r.book.RecordVersion(told.Number, consistency.Forbidden{Resend: doc.Classes[probedClass].Effect == decide.Unsafe, Banned: doc.Banned})
			r.book.RecordAgreed(told.Number)
			r.lastTold = max(r.lastTold, told.Number)
			r.pending[told.Number] = began
			r.mu.Unlock()
			r.note("version %d told: %s %s", told.Number, s.Effect, s.Ban)
			return
		}
		time.Sleep(2 * pollCrew)
	}
}

// sayAndDie proposes as somebody who is gone before any answer; whether the proposal counts then shows at the keepers alone.
func (r *crewRig) sayAndDie(p *crewProc, proposal cluster.Proposal, told *voter.ProposeResult) error {
	proposer := peerrpc.NewClient(env.Real{}, r.scene.Name, "lab", p.address)
	err := proposer.Call("propose", proposal, nil, hangUpAfter)
	proposer.Close()
	r.note("a proposer has died: %v", err)
	for limit := time.Now().Add(proposeTime); time.Now().Before(limit); time.Sleep(pollCrew) {
		var st voter.Status
		if p.line.Call("status", struct{}{}, &st, pollTime) != nil || st.Ledger == nil {
			continue
		}
		if round := st.Ledger.Find(proposal.ID); round != nil {
			told.Number = round.Number
			return nil
		}
	}
	return errors.New("it did not count")
}

// settle waits until nothing is on its way, so that what was told can be looked for.
func (r *crewRig) settle(ctx context.Context) error {
	if r.opts.Separate {
		return nil
	}
	limit := time.Now().Add(leaderTime)
	for time.Now().Before(limit) && ctx.Err() == nil {
		r.mu.Lock()
		left := len(r.pending)
		r.mu.Unlock()
		if left == 0 {
			return r.sleepUntil(ctx, r.now()+settleFor)
		}
		time.Sleep(pollCrew)
	}
	return ctx.Err()
}

// judge closes the book.
func (r *crewRig) judge() {
	present, led := map[uint64]bool{}, false
	for try := 0; !led && !r.opts.Separate && try < int(leaderTime/pollTime); try++ {
		if try > 0 {
			time.Sleep(pollTime)
		}
		for _, k := range r.procs[:r.scene.Voters] {
			var st voter.Status
			if led || k.line.Call("status", struct{}{}, &st, pollTime) != nil || st.Leader != k.name || st.Ledger == nil {
				continue
			}
			led = true
			for name, id := range st.Ledger.Voters {
				if id != r.folders[name] {
					r.rec.Replaced = append(r.rec.Replaced, name)
				}
			}
			for _, round := range st.Ledger.VersionRecords() {
				present[round.Number] = true
				if round.State == cluster.Refused {
					r.rec.Versions = append(r.rec.Versions, ClusterVersion{Number: round.Number, State: "refused", Why: round.Reason})
				}
			}
		}
	}
	behind := r.behind()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.Violations = append(r.rec.Violations, behind...)
	r.rec.NumViolations += len(behind)
	if !led && !r.opts.Separate {
		r.rec.Violations = append(r.rec.Violations, fmt.Sprintf("no keeper leads %v after the last fault", leaderTime))
		r.rec.NumViolations++
	}
	for number, since := range r.pending {
		r.rec.Violations = append(r.rec.Violations, fmt.Sprintf("version %d, told at %v, is not acted on by all", number, since))
		r.rec.NumViolations++
	}
	if !led {
		present = nil // what the crew holds is not known
	}
	report := r.book.Close(present)
	for _, b := range report.Violations {
		r.rec.Violations = append(r.rec.Violations, fmt.Sprintf("%s at %.2fs: %s", b.Rule, b.At.Seconds(), b.What))
	}
	r.rec.NumViolations += report.NumViolations
	r.rec.Contradicted, r.rec.Acts, r.rec.Against = millis(report.Longest), report.Actions, report.AgainstOthers
	r.rec.Requests, r.rec.Served = int(r.asked.Load()), int(r.served.Load())
	for _, p := range r.procs {
		if p.proc == nil {
			continue
		}
		if u, err := p.proc.usage(); err == nil {
			r.rec.RSSMB[p.name], r.rec.CPU[p.name] = u.rssMB, u.cpu
		}
	}
	r.rec.CautiousMS = map[string]float64{}
	for name, d := range r.cautious {
		r.rec.CautiousMS[name] = millis(d)
	}
}

// behind tells which keepers do not have in the end what the others have: one that came back empty must be filled.
func (r *crewRig) behind() (names []string) {
	if r.opts.Separate {
		return nil
	}
	for try := 0; try < int(leaderTime/pollTime); try++ {
		names = nil
		most := uint64(0)
		applied := map[string]uint64{}
		for _, k := range r.procs[:r.scene.Voters] {
			var st voter.Status
			if k.line.Call("status", struct{}{}, &st, pollTime) == nil {
				applied[k.name] = st.Applied
				most = max(most, st.Applied)
			}
		}
		for _, k := range r.procs[:r.scene.Voters] {
			if applied[k.name] < most {
				names = append(names, fmt.Sprintf("%s has applied %d entries of %d", k.name, applied[k.name], most))
			}
		}
		if len(names) == 0 {
			return nil
		}
		time.Sleep(pollTime / 2)
	}
	return names
}

// close ends all that was started, each by its own id.
func (r *crewRig) close() {
	for _, p := range r.procs {
		if p.proc != nil {
			p.proc.signal(syscall.SIGCONT)
			p.proc.end(syscall.SIGKILL)
			p.proc.wait(killTime)
		}
		if p.line != nil {
			p.line.Close()
		}
	}
	for _, way := range r.relays {
		way.close()
	}
	for _, e := range r.ends {
		e.server.Close()
	}
	r.hosts.close()
}

// crewEndpoint answers the load, breaks off the probes, and tells the book what comes.
type crewEndpoint struct {
	name, address string
	server        *http.Server
}

func startCrewEndpoint(r *crewRig, name string) (*crewEndpoint, error) {
	host, err := r.hosts.take()
	if err != nil {
		return nil, err
	}
	listener, err := (env.Real{}).Listen(host + ":0")
	if err != nil {
		return nil, err
	}
	e := &crewEndpoint{name: name, address: listener.Addr().String()}
	e.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		id := q.Header.Get("X-Txn")
		if strings.HasPrefix(q.URL.Path, "/"+orderClass) {
			r.orders.serve(w, q)
			return
		}
		process, _, _ := strings.Cut(id, ".")
		probed := strings.HasPrefix(q.URL.Path, "/"+probedClass)
		again := probed && r.seen(id)
		r.mu.Lock()
		if again {
			r.book.RecordAction(consistency.Action{At: r.now(), Process: process, Resend: true, What: "send " + id + " again"})
		}
		r.book.RecordAction(consistency.Action{At: r.now(), Process: process, Endpoint: name, What: "send " + id + " to " + name})
		r.mu.Unlock()
		if !probed {
			w.Write([]byte("good\n")) //nolint:errcheck // its client shows
			return
		}
		if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
			reset(conn)
		}
	})}
	go e.server.Serve(listener) //nolint:errcheck // until Close
	return e, nil
}
