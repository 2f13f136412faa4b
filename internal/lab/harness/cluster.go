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

// A cluster run starts a cluster of real processes with relays between them. It applies faults to the network paths and to the
// processes, sends load that the endpoints count, and records what it sees in a checker (package consistency) that knows nothing
// of the cluster's inner state.

// Parameters of a cluster run.
const (
	numEndpoints       = 4
	statusInterval     = 40 * time.Millisecond  // between two status requests to a process
	rpcTimeout         = 500 * time.Millisecond // for one answer to the harness: the process may be stopped
	probeInterval      = 200 * time.Millisecond // between two probes to a process: requests that all endpoints break off, to see whether they are sent again
	probedClass        = "pay"
	loadClass          = "look"
	checkerMargin      = 250 * time.Millisecond  // that the checker allows for a status request, its answer and a busy machine
	leaderTimeout      = 15 * time.Second        // for a cluster to form and to have a leader
	proposeTimeout     = 2 * time.Second         // for one attempt of a proposal
	maxAttempts        = 2                       // per request: one retry is enough to show whether a process sends a probe again
	afterInEffectDelay = 1500 * time.Millisecond // after the last agreed version is in effect, before the checks
	duplicateSuffix    = "'"                     // in the name of a duplicate: a second process that is started under the same member name
	hangUpTimeout      = time.Millisecond        // for a proposer that dies: as a rule, after its request is sent and before an answer arrives
	clusterDeadlineMS  = 800.0                   // the deadline of all classes, in ms
	outcomeLifetime    = 2 * time.Minute         // the holdings' setting keep: how long outcomes are kept
	holdingsLostAfter  = 10 * time.Second        // the holdings' setting lost_after
)

// ClusterOptions are the options of a cluster run.
type ClusterOptions struct {
	Program  func() *exec.Cmd  // returns a command that runs one member
	LogDir   string            // for the processes' logs; empty for none
	Dir      string            // for the processes' files; empty for a temporary folder, which is removed at the end
	Progress func(line string) // receives each step as it is applied; nil for none
	// OlderProgram returns a command that runs one member of an older build, for the step "older"; nil if there is none.
	OlderProgram func() *exec.Cmd
	// Separate starts the processes without a cluster, each with its own rules. This shows the contradictions that a cluster
	// prevents.
	Separate bool
}

// ClusterRecord is the result of a cluster run.
type ClusterRecord struct {
	Name          string   `json:"name"`
	Seed          uint64   `json:"seed"`
	Processes     int      `json:"processes"`
	Steps         []string `json:"steps"` // as they were applied, with their times
	NumViolations int      `json:"broken"`
	Violations    []string `json:"breaks,omitempty"`
	// Contradicted is the longest time for which a process went on with an action that the rules of another member forbade, in
	// ms.
	Contradicted         float64            `json:"contradicted_ms"`
	MaxContradiction     float64            `json:"contradict_at_most_ms"` // the longest that the scenario allows
	Actions              int                `json:"acts"`                  // at the endpoints
	ActionsAgainstOthers int                `json:"acts_against"`          // actions that the rules of another member forbade
	Requests             int                `json:"asked"`
	Served               int                `json:"served"`
	Versions             []ClusterVersion   `json:"versions,omitempty"`
	Leaders              map[uint64]string  `json:"leaders,omitempty"`     // by term
	Replaced             []string           `json:"replaced,omitempty"`    // voters that were replaced after the loss of their data directory
	LeaderMS             []float64          `json:"leader_ms,omitempty"`   // from a leader's kill, or stop of more than 1 s, to the report of a later term's leader
	CautiousMS           map[string]float64 `json:"cautious_ms,omitempty"` // how long each process was cautious
	ReplicatedMS         []float64          `json:"whole_ms,omitempty"`    // for each lost process, until all that it held had its copies elsewhere
	Keyed                *KeyedRecord       `json:"orders,omitempty"`
	RSSMB                map[string]float64 `json:"rss_mb"` // peak of the last start
	CPU                  map[string]float64 `json:"cpu_s"`  // of the last start
}

// ClusterVersion is the result of one proposal.
type ClusterVersion struct {
	Number   uint64  `json:"number"`
	State    string  `json:"state"`               // "active" or "refused"
	Reason   string  `json:"why,omitempty"`       // why it was refused
	ActiveMS float64 `json:"active_ms,omitempty"` // from the proposal until no older version was in effect at any live member
}

// clusterProcess is one process of the cluster over all its starts.
type clusterProcess struct {
	name            string        // unique in the run: a duplicate has duplicateSuffix behind the member name
	memberName      string        // the name that it is started with
	older           bool          // it is started as an older build
	separateVersion atomic.Uint64 // in a run with ClusterOptions.Separate: 1 once the process was started with other rules
	host            string
	listen          string // address for callers
	peerAddress     string // address for other members
	dir             string
	starts          int
	proc            *process
	rpc             *peerrpc.Client

	mu      sync.Mutex
	running bool // it has started, and is neither ended nor stopped
	faulted bool // a fault of the process itself has not been reverted yet
}

// clusterRun is the state of a cluster run.
type clusterRun struct {
	scenario *scenario.Cluster
	opts     ClusterOptions
	seed     uint64
	dir      string
	hosts    *hostAllocator
	began    time.Time

	procs     []*clusterProcess
	relays    map[[2]string]*relay // by the names of the process that connects and of the one that it connects to
	voterIDs  map[string]uint64    // the voters' ids when the cluster was formed
	endpoints []*clusterEndpoint

	mu            sync.Mutex // guards checker and the fields up to cautious
	checker       *consistency.Checker
	rec           ClusterRecord
	leader        string                   // of the latest term, as voters reported it
	lastTerm      uint64                   // the latest term for which a voter reported a leader
	lastAgreed    uint64                   // number of the newest version that a leader has confirmed
	lostVoter     string                   // a voter that has lost its data directory and is not replaced yet; empty for none
	lostVoterID   uint64                   // its id before the loss
	leaderFaultAt time.Duration            // when the leader was last killed, or stopped for more than 1 s; 0 once a later term has a leader
	pending       map[uint64]time.Duration // when each agreed version that is not in effect everywhere was proposed
	lastStatus    map[string]member.Status // by process
	cautious      map[string]time.Duration // how long each process was cautious
	requests      atomic.Int64             // of the load
	served        atomic.Int64             // of the load
	probeIDs      sync.Map                 // ids of the probes that have arrived at an endpoint
	partitions    atomic.Int64             // that have not been healed
	keyed         *keyedLoad
}

// probeSeen records the arrival of a probe and reports whether it has arrived before.
func (r *clusterRun) probeSeen(id string) bool {
	_, before := r.probeIDs.LoadOrStore(id, struct{}{})
	return before
}

// now returns the time since the run began, which is the clock of the checker and of the record.
func (r *clusterRun) now() time.Duration { return time.Since(r.began) }

// logStep records a line with the current time and reports it as progress.
func (r *clusterRun) logStep(format string, args ...any) {
	line := fmt.Sprintf("%6.2fs ", r.now().Seconds()) + fmt.Sprintf(format, args...)
	r.mu.Lock()
	r.rec.Steps = append(r.rec.Steps, line)
	r.mu.Unlock()
	if r.opts.Progress != nil {
		r.opts.Progress(line)
	}
}

// RunCluster runs a cluster scenario with a seed and returns its record. An error means that there is no record.
func RunCluster(ctx context.Context, sc *scenario.Cluster, seed uint64, opts ClusterOptions) (*ClusterRecord, error) {
	dir, err := opts.Dir, error(nil)
	if dir == "" {
		if dir, err = os.MkdirTemp("", "heathgap-crew-"); err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
	}
	r := &clusterRun{
		scenario: sc, opts: opts, seed: seed, dir: dir, hosts: newHostAllocator(), began: time.Now(), relays: map[[2]string]*relay{},
		checker: consistency.New(consistency.Conf{MaxContradiction: sc.ContradictAtMost, Margin: checkerMargin}), pending: map[uint64]time.Duration{},
		lastStatus: map[string]member.Status{}, cautious: map[string]time.Duration{},
		rec: ClusterRecord{Name: sc.Name, Seed: seed, Processes: sc.Voters + sc.Members, Leaders: map[uint64]string{},
			RSSMB: map[string]float64{}, CPU: map[string]float64{},
			MaxContradiction: millis(sc.ContradictAtMost)},
	}
	r.checker.RecordVersion(0, consistency.Forbidden{})
	r.keyed = newKeyedLoad(r)
	defer r.stopAll()
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	running, stopRunning := context.WithCancel(ctx)
	var tasks sync.WaitGroup
	for _, p := range r.procs {
		tasks.Go(func() { r.pollStatus(running, p) })
		tasks.Go(func() { r.sendProbes(running, p) })
		tasks.Go(func() { r.sendLoad(running, p) })
	}
	sendingKeyed, stopKeyed := context.WithCancel(running)
	defer stopKeyed()
	keyedDone := make(chan struct{})
	go func() {
		defer close(keyedDone)
		if r.scenario.KeyedRate > 0 {
			r.keyed.run(sendingKeyed)
		}
	}()
	err = r.runSteps(ctx)
	stopKeyed()
	<-keyedDone
	if err == nil {
		err = r.awaitPending(ctx)
	}
	stopRunning()
	tasks.Wait()
	if err != nil {
		return nil, err
	}
	r.checkResult()
	if r.scenario.KeyedRate > 0 {
		r.keyed.finish(&r.rec)
	}
	return &r.rec, nil
}

// start starts the endpoints, the relays, and all processes except duplicates, and waits until these processes hold a lease. With
// ClusterOptions.Separate there are no leases to wait for.
func (r *clusterRun) start(ctx context.Context) error {
	for i := range numEndpoints {
		e, err := startClusterEndpoint(r, fmt.Sprintf("e-%d", i+1))
		if err != nil {
			return err
		}
		r.endpoints = append(r.endpoints, e)
	}
	// Voters are named k1, k2 and so on, other members m1, m2 and so on, as in scenario files.
	var names []string
	for i := range r.scenario.Voters {
		names = append(names, fmt.Sprintf("k%d", i+1))
	}
	for i := range r.scenario.Members {
		names = append(names, fmt.Sprintf("m%d", i+1))
	}
	duplicates := 0
	for _, s := range r.scenario.Steps {
		if duplicate := s.Who + duplicateSuffix; s.Do == "twin" && !slices.Contains(names, duplicate) {
			names = append(names, duplicate)
			duplicates++
		}
	}
	for _, name := range names {
		p := &clusterProcess{name: name, memberName: strings.TrimSuffix(name, duplicateSuffix)}
		p.dir = filepath.Join(r.dir, p.name)
		var err error
		if p.host, err = r.hosts.acquire(); err != nil {
			return err
		}
		if p.listen, err = r.hosts.address(p.host); err != nil {
			return err
		}
		if p.peerAddress, err = r.hosts.address(p.host); err != nil {
			return err
		}
		p.rpc = peerrpc.NewClient(env.Real{}, r.scenario.Name, "lab", p.peerAddress)
		r.procs = append(r.procs, p)
	}
	originals := r.procs[:len(r.procs)-duplicates]
	targets := originals // which the other processes connect to: the voters, or all processes where they hold replicas for one another
	if r.scenario.Copies == 0 {
		targets = originals[:r.scenario.Voters]
	}
	for _, p := range r.procs {
		for _, target := range targets {
			if p == target {
				continue
			}
			host, err := r.hosts.acquire()
			if err != nil {
				return err
			}
			relay, err := newRelay(host, target.peerAddress)
			if err != nil {
				return err
			}
			r.relays[[2]string{p.name, target.name}] = relay
		}
	}
	var starting sync.WaitGroup
	errs := make([]error, len(originals))
	for i, p := range originals {
		starting.Go(func() { errs[i] = r.startMember(ctx, p) })
	}
	starting.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	if r.opts.Separate {
		return nil
	}
	deadline := time.Now().Add(leaderTimeout)
	for {
		ready := 0
		for _, p := range originals {
			var a member.Status
			if p.rpc.Call("acting", struct{}{}, &a, rpcTimeout) == nil && !a.Cautious {
				ready++
			}
		}
		if ready == len(originals) {
			for _, p := range r.procs[:r.scenario.Voters] { // the step "setback" restores this copy of the data directory
				if err := os.CopyFS(filepath.Join(p.dir, "copy"), os.DirFS(filepath.Join(p.dir, "data"))); err != nil {
					return err
				}
			}
			var st voter.Status
			if err := r.procs[0].rpc.Call("status", struct{}{}, &st, rpcTimeout); err != nil {
				return err
			}
			r.voterIDs = st.Ledger.Voters
			if r.opts.Dir != "" && r.opts.Progress != nil { // for a person who tries commands on the processes
				for _, p := range originals {
					r.opts.Progress(fmt.Sprintf("%s: zone %s, callers at %s, process %d, files in %s", p.name, r.zone(p), p.listen, p.proc.cmd.Process.Pid, p.dir))
				}
			}
			r.logStep("%d processes hold a lease", ready)
			return nil
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return fmt.Errorf("only %d of %d processes hold a lease after %v; set LogDir to keep their logs, which say why", ready, len(originals), leaderTimeout)
		}
		time.Sleep(statusInterval)
	}
}

// operatorConfig returns the text of a process's operator's file. The other processes that it connects to are listed there with
// the addresses of relays, so that steps can delay, cut and reset the connections.
func (r *clusterRun) operatorConfig(p *clusterProcess) string {
	f := ClusterFile{
		Name: r.scenario.Name, Address: p.peerAddress, Data: filepath.Join(p.dir, "data"), Lease: r.scenario.Lease, Drift: r.scenario.Drift, Slack: r.scenario.Slack,
		ContradictAtMost: r.scenario.ContradictAtMost, Copies: r.scenario.Copies, OutcomeLifetime: outcomeLifetime, LostAfter: holdingsLostAfter,
	}
	for _, v := range r.procs[:r.scenario.Voters] {
		address := v.peerAddress
		if relay := r.relays[[2]string{p.name, v.name}]; relay != nil {
			address = relay.address()
		}
		f.Voters = append(f.Voters, NamedAddress{v.name, address})
	}
	for _, q := range r.procs[r.scenario.Voters:] {
		if relay := r.relays[[2]string{p.name, q.name}]; relay != nil {
			f.Routes = append(f.Routes, NamedAddress{q.name, relay.address()})
		}
	}
	return f.Text()
}

// sidecarConfig returns the sidecar's configuration of a process. effect is the effect of the probed class.
func (r *clusterRun) sidecarConfig(p *clusterProcess, effect decide.Effect) ([]byte, error) {
	f := SidecarFile{
		Name: p.memberName, Listen: p.listen, Host: p.host, Seed: r.seed + uint64(p.starts)*7919, Me: slices.Index(r.procs, p), Replicas: len(r.procs),
		Zone: r.zone(p), Effect: effect,
	}
	for _, e := range r.endpoints {
		f.Endpoints = append(f.Endpoints, NamedAddress{e.name, e.address})
	}
	return f.JSON()
}

// zone returns the zone of a process.
func (r *clusterRun) zone(p *clusterProcess) string {
	return string(rune('a' + slices.Index(r.procs, p)%r.scenario.Zones))
}

// startMember starts a process with the usual effect of the probed class, which allows retries.
func (r *clusterRun) startMember(ctx context.Context, p *clusterProcess) error {
	return r.startWithEffect(ctx, p, decide.Safe)
}

// startWithEffect writes the files of a process, with effect as the effect of the probed class, starts it and waits until it is
// ready.
func (r *clusterRun) startWithEffect(ctx context.Context, p *clusterProcess, effect decide.Effect) error {
	p.starts++
	if err := os.MkdirAll(filepath.Join(p.dir, "data"), 0o700); err != nil {
		return err
	}
	conf, err := r.sidecarConfig(p, effect)
	if err != nil {
		return err
	}
	confPath, operatorPath := filepath.Join(p.dir, "sidecar.json"), filepath.Join(p.dir, "operator.toml")
	if err := errors.Join(os.WriteFile(confPath, conf, 0o600), os.WriteFile(operatorPath, []byte(r.operatorConfig(p)), 0o600)); err != nil {
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
	r.checker.RecordStart(r.now(), p.name)
	r.mu.Unlock()
	if p.proc, err = startProcess(cmd, p.name, confPath, logPath); err != nil {
		return err
	}
	if err := waitReady(ctx, p.listen, p.proc); err != nil {
		p.proc.stop(syscall.SIGKILL)
		p.proc.wait(exitTimeout)
		return fmt.Errorf("%s: %w: %s", p.name, err, p.proc.lastLine)
	}
	p.setRunning(true)
	return nil
}

func (p *clusterProcess) setRunning(up bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running = up
}

// beginFault marks the process as faulted. It returns false if the process is not running or if another fault has not been
// reverted: two reverts would start the process twice.
func (p *clusterProcess) beginFault() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faulted || !p.running {
		return false
	}
	p.faulted = true
	return true
}

// endFault marks the fault as reverted.
func (p *clusterProcess) endFault() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faulted = false
}

func (p *clusterProcess) isRunning() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running
}

// pollStatus asks a process at intervals which rules are in effect there, and a voter (its name begins with k) also who leads. With
// ClusterOptions.Separate it asks nothing and records separateVersion.
func (r *clusterRun) pollStatus(ctx context.Context, p *clusterProcess) {
	for ; ctx.Err() == nil; time.Sleep(statusInterval) {
		if r.opts.Separate {
			r.mu.Lock()
			r.checker.RecordStatus(p.name, consistency.StatusReport{At: r.now(), Active: p.separateVersion.Load()})
			r.mu.Unlock()
			continue
		}
		var a member.Status
		polledAt := r.now()
		if !p.isRunning() || p.rpc.Call("acting", struct{}{}, &a, rpcTimeout) != nil {
			continue
		}
		r.mu.Lock()
		r.checker.RecordStatus(p.name, consistency.StatusReport{At: polledAt, AnsweredAt: r.now(), Cautious: a.Cautious, Active: a.Active, Next: a.Next})
		if a.Cautious {
			r.cautious[p.name] += statusInterval
		}
		r.lastStatus[p.name] = a
		r.recordActiveEverywhere(polledAt)
		r.mu.Unlock()
		if strings.HasPrefix(p.name, "k") {
			r.pollLeader(p)
		}
	}
}

// recordActiveEverywhere records the versions that are active at all live members, with no older version in effect. Members
// without a lease (cautious) don't count. r.mu is held.
func (r *clusterRun) recordActiveEverywhere(now time.Duration) {
	for number, since := range r.pending {
		allActive, anyActive := true, false
		for _, p := range r.procs {
			a, known := r.lastStatus[p.name]
			active := known && !a.Cautious && a.Active >= number
			anyActive = anyActive || active && p.isRunning()
			allActive = allActive && (active || !p.isRunning() || known && a.Cautious)
		}
		if allActive && anyActive {
			r.rec.Versions = append(r.rec.Versions, ClusterVersion{Number: number, State: "active", ActiveMS: millis(now - since)})
			delete(r.pending, number)
		}
	}
}

// pollLeader asks a voter who leads and records the answer, unless the voter knows no leader. It also clears lostVoter once that
// voter has been replaced, and measures how long after a leader's fault a later term has a leader.
func (r *clusterRun) pollLeader(p *clusterProcess) {
	var s voter.Status
	if p.rpc.Call("status", struct{}{}, &s, rpcTimeout) != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	// A voter names the leader of its term, and a leader names itself. The name is empty if the voter knows none.
	if s.Leader == "" {
		return
	}
	r.checker.RecordLeader(r.now(), s.Term, s.Leader)
	if s.Leader == s.Name && r.lostVoter != "" && s.Ledger.Voters[r.lostVoter] != r.lostVoterID {
		r.lostVoter = "" // the ledger has the id of the voter's new data directory
	}
	if r.rec.Leaders[s.Term] = s.Leader; s.Term >= r.lastTerm {
		if s.Term > r.lastTerm && r.leaderFaultAt > 0 {
			r.rec.LeaderMS = append(r.rec.LeaderMS, millis(r.now()-r.leaderFaultAt))
			r.leaderFaultAt = 0
		}
		r.leader, r.lastTerm = s.Leader, s.Term
	}
}

// sendLoad sends requests that endpoints serve to a process, at an even rate.
func (r *clusterRun) sendLoad(ctx context.Context, p *clusterProcess) {
	client := &http.Client{Timeout: time.Duration(clusterDeadlineMS) * time.Millisecond}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(time.Duration(float64(time.Second) / r.scenario.Rate))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !p.isRunning() {
			continue
		}
		code := r.sendRequest(client, p, loadClass, n)
		if !p.isRunning() { // it was ended meanwhile: a real client would have chosen another sidecar
			continue
		}
		r.requests.Add(1)
		if code == http.StatusOK {
			r.served.Add(1)
		}
	}
}

// sendProbes sends requests that all endpoints break off to a process, at an even rate.
func (r *clusterRun) sendProbes(ctx context.Context, p *clusterProcess) {
	client := &http.Client{Timeout: 2 * time.Duration(clusterDeadlineMS) * time.Millisecond}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if p.isRunning() {
				r.sendRequest(client, p, probedClass, n)
			}
		}
	}
}

// sendRequest sends request n of a class to a process and returns the status code, or 0 if there was no answer.
func (r *clusterRun) sendRequest(client *http.Client, p *clusterProcess, class string, n int) int {
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

// processByName finds a process by its name, or by its part: "leader" or "follower" (the first running voter that does not lead).
// It returns the first process if there is none.
func (r *clusterRun) processByName(who string) *clusterProcess {
	r.mu.Lock()
	leader := r.leader
	r.mu.Unlock()
	switch who {
	case "leader":
		who = leader
	case "follower":
		for _, p := range r.procs[:r.scenario.Voters] {
			if p.name != leader && p.isRunning() {
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

// runSteps applies the steps of the scenario and those that follow from the seed, each at its time.
func (r *clusterRun) runSteps(ctx context.Context) error {
	steps := slices.Clone(r.scenario.Steps)
	steps = append(steps, r.randomSteps()...)
	slices.SortStableFunc(steps, func(a, b scenario.ClusterStep) int { return int(a.At - b.At) })
	begin := r.now()
	var reverts sync.WaitGroup
	defer reverts.Wait()
	for _, s := range steps {
		if err := r.sleepUntil(ctx, begin+s.At); err != nil {
			return err
		}
		if err := r.applyStep(ctx, s, &reverts); err != nil {
			return err
		}
	}
	return r.sleepUntil(ctx, begin+r.scenario.Duration)
}

// sleepUntil waits until a time of the run.
func (r *clusterRun) sleepUntil(ctx context.Context, at time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(at - r.now()):
		return nil
	}
}

// randomSteps generates the faults and the proposals that follow from the seed.
func (r *clusterRun) randomSteps() []scenario.ClusterStep {
	rng := rand.New(rand.NewPCG(r.seed, 0xc4e3))
	var steps []scenario.ClusterStep
	span := r.scenario.Duration - 2*r.scenario.Lease
	for range r.scenario.Random {
		at := time.Duration(rng.Int64N(int64(span)))
		who := []string{"leader", "follower", r.procs[rng.IntN(len(r.procs))].name}[rng.IntN(3)]
		do := scenario.ClusterFaults[rng.IntN(len(scenario.ClusterFaults))]
		steps = append(steps, scenario.ClusterStep{
			Generated: true, At: at, Do: do, Who: who, Direction: scenario.CutDirections[rng.IntN(len(scenario.CutDirections))],
			For: r.scenario.Lease/2 + time.Duration(rng.Int64N(int64(2*r.scenario.Lease))),
		})
	}
	for i := range r.scenario.Proposals {
		at := time.Duration(i+1) * span / time.Duration(r.scenario.Proposals+1)
		s := scenario.ClusterStep{At: at, Do: "propose", Effect: "once"}
		if i%2 == 1 {
			s.Effect, s.Ban = "repeatable", r.endpoints[rng.IntN(len(r.endpoints))].name
		}
		steps = append(steps, s)
	}
	return steps
}

// applyStep applies one step. A goroutine in reverts reverts it after the step's duration (For), except for the steps reset and
// restart, which are not reverted, and propose, which runs in such a goroutine. A fault that the cluster or the holdings don't
// promise to survive at this time is skipped or weakened.
func (r *clusterRun) applyStep(ctx context.Context, s scenario.ClusterStep, reverts *sync.WaitGroup) error {
	if s.Do == "propose" && r.opts.Separate {
		return nil // without a cluster there is no voter that could receive it
	}
	if s.Do == "propose" {
		reverts.Go(func() { r.propose(ctx, s) })
		return nil
	}
	if s.Do == "older" && r.opts.OlderProgram == nil {
		return errors.New(`step "older": no program of an older build is given`)
	}
	if s.Do == "twin" {
		s.Who += duplicateSuffix
	}
	if s.Who == "keepers" || s.Who == "all" {
		for i, p := range r.procs {
			if single := s; s.Who == "all" || i < r.scenario.Voters {
				single.Who = p.name
				if err := r.applyStep(ctx, single, reverts); err != nil {
					return err
				}
			}
		}
		return nil
	}
	p := r.processByName(s.Who)
	ofProcess := s.Do != "cut" && s.Do != "delay" && s.Do != "reset" && s.Do != "restart" && s.Do != "twin" // a fault of the process itself
	if r.scenario.Copies > 0 && (ofProcess || s.Do == "cut" && s.Generated) && !r.canLoseProcess() {
		return nil // the holdings promise to survive only one fault at a time
	}
	if ofProcess && !p.beginFault() {
		return nil
	}
	if (s.Do == "wipe" || s.Do == "setback") && strings.HasPrefix(p.name, "k") && !r.reserveVoterLoss(p) {
		s.Do = "kill" // the cluster promises to survive the loss of one data directory at a time
	}
	r.logStep("%s %s %s %s %v", s.Do, p.name, s.With, s.Direction, s.For)
	r.mu.Lock()
	if p.name == r.leader && (s.Do == "kill" || s.Do == "stop" && s.For > time.Second) {
		r.leaderFaultAt = r.now()
	}
	r.mu.Unlock()
	revertLater := func(revert func()) {
		reverts.Go(func() {
			select {
			case <-ctx.Done():
			case <-time.After(s.For):
			}
			revert()
			if ofProcess {
				p.endFault()
			}
		})
	}
	start := func() {
		if err := r.startMember(ctx, p); err != nil && ctx.Err() == nil {
			r.mu.Lock()
			r.rec.Violations = append(r.rec.Violations, "did not start again: "+err.Error())
			r.rec.NumViolations++
			r.mu.Unlock()
		}
		r.logStep("%s was started", p.name)
	}
	switch s.Do {
	case "kill", "wipe", "term", "setback":
		if r.scenario.Copies > 0 && s.Do != "term" {
			if ledger := r.leaderLedger(); ledger != nil {
				reverts.Go(func() { r.awaitReplicated(ctx, ledger.Members[p.memberName].Token) })
			}
		}
		p.setRunning(false)
		signal := syscall.SIGKILL
		if s.Do == "term" {
			signal = syscall.SIGTERM
		}
		p.proc.stop(signal)
		revertLater(func() {
			if !p.proc.wait(exitTimeout) {
				p.proc.stop(syscall.SIGKILL)
				p.proc.wait(exitTimeout)
			}
			data := filepath.Join(p.dir, "data")
			if s.Do != "kill" && s.Do != "term" {
				os.RemoveAll(data)
			}
			if s.Do == "setback" {
				os.CopyFS(data, os.DirFS(filepath.Join(p.dir, "copy"))) //nolint:errcheck // without a copy the step is a wipe
				start()
				// The voter logs that its data directory was set back. Do what an operator does then: end it, and remove the directory.
				time.Sleep(r.scenario.Lease)
				p.setRunning(false)
				p.proc.stop(syscall.SIGKILL)
				p.proc.wait(exitTimeout)
				os.RemoveAll(data)
			}
			start()
		})
	case "older": // replaced by an older build, and put back afterwards
		p.older = true
		p.setRunning(false)
		p.proc.stop(syscall.SIGKILL)
		p.proc.wait(exitTimeout)
		start()
		revertLater(func() {
			p.older = false
			p.setRunning(false)
			p.proc.stop(syscall.SIGKILL)
			p.proc.wait(exitTimeout)
			start()
		})
	case "twin":
		start()
		revertLater(func() {
			p.setRunning(false)
			p.proc.stop(syscall.SIGKILL)
			p.proc.wait(exitTimeout)
			r.logStep("%s was ended", p.name)
		})
	case "stop":
		p.setRunning(false)
		p.proc.signal(syscall.SIGSTOP)
		revertLater(func() {
			p.proc.signal(syscall.SIGCONT)
			p.setRunning(true)
			r.logStep("%s was resumed", p.name)
		})
	case "delay":
		r.forRelays(p, s.With, s.Direction, func(relay *relay, dir int) { relay.addDelay(dir, s.By) })
		revertLater(func() {
			r.forRelays(p, s.With, s.Direction, func(relay *relay, dir int) { relay.addDelay(dir, -s.By) })
			r.logStep("the delay of %s was removed", p.name)
		})
	case "cut":
		r.partitions.Add(1)
		r.forRelays(p, s.With, s.Direction, func(relay *relay, dir int) { relay.setPartitioned(dir, true) })
		revertLater(func() {
			r.forRelays(p, s.With, s.Direction, func(relay *relay, dir int) { relay.setPartitioned(dir, false) })
			r.partitions.Add(-1)
			r.logStep("the partition of %s was healed", p.name)
		})
	case "full": // as on a full disk: no file of the process may grow, nor be written past its first page
		limit := &unix.Rlimit{Cur: 4096, Max: unix.RLIM_INFINITY}
		if err := unix.Prlimit(p.proc.cmd.Process.Pid, unix.RLIMIT_FSIZE, limit, nil); err != nil {
			return err
		}
		revertLater(func() { // the disk has space again: the voter takes part once its process has been started again
			p.setRunning(false)
			p.proc.stop(syscall.SIGKILL)
			p.proc.wait(exitTimeout)
			start()
		})
	case "reset":
		for ends, relay := range r.relays {
			if ends[0] == p.name || ends[1] == p.name {
				relay.resetAll()
			}
		}
	case "restart": // in a run without a cluster: starts the process with other rules
		p.setRunning(false)
		p.proc.stop(syscall.SIGKILL)
		p.proc.wait(exitTimeout)
		r.mu.Lock()
		r.checker.RecordVersion(1, consistency.Forbidden{Resend: true})
		r.mu.Unlock()
		p.separateVersion.Store(1)
		return r.startWithEffect(ctx, p, decide.Unsafe)
	}
	return nil
}

// reserveVoterLoss records that a voter is about to lose its data directory. It returns false if
// another voter that lost its data directory is not replaced yet, or if this voter does not run or does not answer.
func (r *clusterRun) reserveVoterLoss(p *clusterProcess) bool {
	var st voter.Status
	if p.rpc.Call("status", struct{}{}, &st, rpcTimeout) != nil || st.Ledger == nil || !p.isRunning() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lostVoter != "" {
		return false
	}
	r.lostVoter, r.lostVoterID = p.name, st.Ledger.Voters[p.name]
	return true
}

// forRelays calls do for each relay between a process and another one (with), or all others if with is empty, for the direction
// of what the process receives ("in"), of what it sends ("out"), or both.
func (r *clusterRun) forRelays(p *clusterProcess, with, direction string, do func(w *relay, direction int)) {
	for ends, relay := range r.relays {
		out, in, other := toTarget, fromTarget, ends[1] // of a relay for connections from the process
		switch p.name {
		case ends[0]:
		case ends[1]:
			out, in, other = fromTarget, toTarget, ends[0]
		default:
			continue
		}
		if with != "" && with != other {
			continue
		}
		if direction != "in" {
			do(relay, out)
		}
		if direction != "out" {
			do(relay, in)
		}
	}
}

// propose proposes a version at the voter that leads, and repeats this until the version is agreed or the scenario's duration
// has passed.
func (r *clusterRun) propose(ctx context.Context, s scenario.ClusterStep) {
	id := voter.NewID()
	deadline := time.Now().Add(r.scenario.Duration)
	for i := 0; ctx.Err() == nil && time.Now().Before(deadline); i++ {
		p := r.procs[i%r.scenario.Voters]
		var st voter.Status
		if !p.isRunning() || p.rpc.Call("status", struct{}{}, &st, rpcTimeout) != nil || st.Ledger == nil || st.Leader != p.name {
			time.Sleep(statusInterval)
			continue
		}
		doc := st.Ledger.Active.Doc
		effect := decide.Safe
		for e, name := range versions.EffectNames {
			if name == s.Effect {
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
		// The checker must know the version before any member can apply it. A voter that is cut off may still believe that it
		// leads and offer a number that is agreed already; what was recorded under that number must stay.
		if next <= r.lastAgreed {
			r.mu.Unlock()
			time.Sleep(statusInterval)
			continue
		}
		r.checker.RecordVersion(next, consistency.Forbidden{Resend: doc.Classes[probedClass].Effect == decide.Unsafe, Banned: doc.Banned})
		r.mu.Unlock()
		began := r.now()
		var result voter.ProposeResult
		proposal := cluster.Proposal{ID: id, Parent: st.Ledger.Active.Number, Author: "lab", Doc: doc}
		var err error
		if s.ProposerDies && i == 0 {
			err = r.proposeAndHangUp(p, proposal, &result)
		} else {
			err = p.rpc.Call("propose", proposal, &result, proposeTimeout)
		}
		if err == nil && result.Number > 0 {
			r.mu.Lock()
			r.checker.RecordVersion(result.Number, consistency.Forbidden{Resend: doc.Classes[probedClass].Effect == decide.Unsafe, Banned: doc.Banned})
			r.checker.RecordAgreed(result.Number)
			r.lastAgreed = max(r.lastAgreed, result.Number)
			r.pending[result.Number] = began
			r.mu.Unlock()
			r.logStep("version %d was agreed: %s %s", result.Number, s.Effect, s.Ban)
			return
		}
		time.Sleep(2 * statusInterval)
	}
}

// proposeAndHangUp proposes as a proposer that closes its connection before any answer. Whether the proposal was accepted then
// shows only in the voters' ledger.
func (r *clusterRun) proposeAndHangUp(p *clusterProcess, proposal cluster.Proposal, result *voter.ProposeResult) error {
	proposer := peerrpc.NewClient(env.Real{}, r.scenario.Name, "lab", p.peerAddress)
	err := proposer.Call("propose", proposal, nil, hangUpTimeout)
	proposer.Close()
	r.logStep("a proposer closed its connection before an answer: %v", err)
	for deadline := time.Now().Add(proposeTimeout); time.Now().Before(deadline); time.Sleep(statusInterval) {
		var st voter.Status
		if p.rpc.Call("status", struct{}{}, &st, rpcTimeout) != nil || st.Ledger == nil {
			continue
		}
		if version := st.Ledger.Find(proposal.ID); version != nil {
			result.Number = version.Number
			return nil
		}
	}
	return errors.New("the ledger has no version of this proposal")
}

// awaitPending waits until all agreed versions are in effect and their last requests have been seen, so that the checks miss
// nothing. It gives up after leaderTimeout; checkResult then reports the versions that are left.
func (r *clusterRun) awaitPending(ctx context.Context) error {
	if r.opts.Separate {
		return nil
	}
	deadline := time.Now().Add(leaderTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		r.mu.Lock()
		left := len(r.pending)
		r.mu.Unlock()
		if left == 0 {
			return r.sleepUntil(ctx, r.now()+afterInEffectDelay)
		}
		time.Sleep(statusInterval)
	}
	return ctx.Err()
}

// checkResult checks the final state of the cluster and completes the record.
func (r *clusterRun) checkResult() {
	inLedger, hasLeader := map[uint64]bool{}, false
	for try := 0; !hasLeader && !r.opts.Separate && try < int(leaderTimeout/rpcTimeout); try++ {
		if try > 0 {
			time.Sleep(rpcTimeout)
		}
		for _, v := range r.procs[:r.scenario.Voters] {
			var st voter.Status
			if hasLeader || v.rpc.Call("status", struct{}{}, &st, rpcTimeout) != nil || st.Leader != v.name || st.Ledger == nil {
				continue
			}
			hasLeader = true
			for name, id := range st.Ledger.Voters {
				if id != r.voterIDs[name] {
					r.rec.Replaced = append(r.rec.Replaced, name)
				}
			}
			for _, version := range st.Ledger.VersionRecords() {
				inLedger[version.Number] = true
				if version.State == cluster.Refused {
					r.rec.Versions = append(r.rec.Versions, ClusterVersion{Number: version.Number, State: "refused", Reason: version.Reason})
				}
			}
		}
	}
	behind := r.laggingVoters()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.Violations = append(r.rec.Violations, behind...)
	r.rec.NumViolations += len(behind)
	if !hasLeader && !r.opts.Separate {
		r.rec.Violations = append(r.rec.Violations, fmt.Sprintf("no voter leads %v after the last fault", leaderTimeout))
		r.rec.NumViolations++
	}
	for number, since := range r.pending {
		r.rec.Violations = append(r.rec.Violations, fmt.Sprintf("version %d, proposed at %v and agreed, is not in effect at all live members", number, since))
		r.rec.NumViolations++
	}
	if !hasLeader {
		inLedger = nil // without a leader it is not known what the ledger has
	}
	report := r.checker.Close(inLedger)
	for _, v := range report.Violations {
		r.rec.Violations = append(r.rec.Violations, fmt.Sprintf("%s at %.2fs: %s", v.Rule, v.At.Seconds(), v.What))
	}
	r.rec.NumViolations += report.NumViolations
	r.rec.Contradicted, r.rec.Actions, r.rec.ActionsAgainstOthers = millis(report.LongestContradiction), report.Actions, report.AgainstOthers
	r.rec.Requests, r.rec.Served = int(r.requests.Load()), int(r.served.Load())
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

// laggingVoters returns a text for each voter that has applied fewer entries than another one at the end. A voter that came back
// with an empty data directory must have caught up.
func (r *clusterRun) laggingVoters() (lagging []string) {
	if r.opts.Separate {
		return nil
	}
	for try := 0; try < int(leaderTimeout/rpcTimeout); try++ {
		lagging = nil
		maxApplied := uint64(0)
		applied := map[string]uint64{}
		for _, v := range r.procs[:r.scenario.Voters] {
			var st voter.Status
			if v.rpc.Call("status", struct{}{}, &st, rpcTimeout) == nil {
				applied[v.name] = st.Applied
				maxApplied = max(maxApplied, st.Applied)
			}
		}
		for _, v := range r.procs[:r.scenario.Voters] {
			if applied[v.name] < maxApplied {
				lagging = append(lagging, fmt.Sprintf("%s has applied %d of %d entries", v.name, applied[v.name], maxApplied))
			}
		}
		if len(lagging) == 0 {
			return nil
		}
		time.Sleep(rpcTimeout / 2)
	}
	return lagging
}

// stopAll stops everything that was started. It ends each process by its own id.
func (r *clusterRun) stopAll() {
	for _, p := range r.procs {
		if p.proc != nil {
			p.proc.signal(syscall.SIGCONT)
			p.proc.stop(syscall.SIGKILL)
			p.proc.wait(exitTimeout)
		}
		if p.rpc != nil {
			p.rpc.Close()
		}
	}
	for _, relay := range r.relays {
		relay.close()
	}
	for _, e := range r.endpoints {
		e.server.Close()
	}
	r.hosts.close()
}

// clusterEndpoint is a fake endpoint that answers the load, breaks off the probes and records in the checker what arrives.
type clusterEndpoint struct {
	name, address string
	server        *http.Server
}

// startClusterEndpoint starts an endpoint on a host of its own.
func startClusterEndpoint(r *clusterRun, name string) (*clusterEndpoint, error) {
	host, err := r.hosts.acquire()
	if err != nil {
		return nil, err
	}
	listener, err := (env.Real{}).Listen(host + ":0")
	if err != nil {
		return nil, err
	}
	e := &clusterEndpoint{name: name, address: listener.Addr().String()}
	e.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		id := q.Header.Get("X-Txn")
		if strings.HasPrefix(q.URL.Path, "/"+keyedClass) {
			r.keyed.serve(w, q)
			return
		}
		process, _, _ := strings.Cut(id, ".")
		probed := strings.HasPrefix(q.URL.Path, "/"+probedClass)
		resent := probed && r.probeSeen(id)
		r.mu.Lock()
		if resent {
			r.checker.RecordAction(consistency.Action{At: r.now(), Process: process, Resend: true, What: "send " + id + " again"})
		}
		r.checker.RecordAction(consistency.Action{At: r.now(), Process: process, Endpoint: name, What: "send " + id + " to " + name})
		r.mu.Unlock()
		if !probed {
			w.Write([]byte("good\n")) //nolint:errcheck // the client notices an error
			return
		}
		if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
			reset(conn)
		}
	})}
	go e.server.Serve(listener) //nolint:errcheck // until Close
	return e, nil
}
