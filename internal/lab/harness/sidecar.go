package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"heathgap/decide"
	"heathgap/internal/lab/fake"
	"heathgap/internal/lab/load"
	"heathgap/internal/lab/oracle"
	"heathgap/internal/lab/record"
	"heathgap/internal/lab/scenario"
)

// maxStartAttempts bounds the starts of a sidecar at other ports: another process may take a port between its choice and its use.
const maxStartAttempts = 5

// sidecar is one sidecar over all its starts.
type sidecar struct {
	run              *run
	name             string
	tier             int  // index of the tier that it sends to
	number           int  // its number among its peers
	peers            int  // number of peers, itself included, as the settings state it
	perCaller        bool // the settings state that each caller has its own sidecar (family mesh)
	zone             string
	host             string
	discoveryAddress string // where its fake discovery listens

	mu        sync.Mutex   // guards what follows
	address   string       // empty until an address is chosen; a later start uses the same address
	proc      *process     // the last start; nil before the first
	target    *load.Target // the last start that became ready; nil before that
	starts    int
	crashed   bool   // it ended although the lab did not stop it
	peakUsage usage  // highest memory and descriptors over all samples, and the last value of the CPU time
	seedStep  uint64 // changes the seed of its random numbers with each start
}

// assignAddresses acquires a host for the sidecar, and another host where its fake discovery listens.
func (s *sidecar) assignAddresses() error {
	var err error
	if s.host, err = s.run.hosts.acquire(); err != nil {
		return err
	}
	at, err := s.run.hosts.acquire()
	if err != nil {
		return err
	}
	s.discoveryAddress, err = s.run.discoveries[s.tier].OpenFor(s.name, at)
	return err
}

// start starts the sidecar, at its address if it has one, and returns when it is ready.
func (s *sidecar) start(ctx context.Context) (*load.Target, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tries := maxStartAttempts
	if s.address != "" {
		tries = 1
	}
	for {
		err := s.startOnce(ctx)
		if err == nil {
			return s.target, nil
		}
		if tries--; tries == 0 || ctx.Err() != nil {
			return nil, err
		}
		s.address = ""
	}
}

// startOnce tries one start. It writes the configuration, starts the process and waits until the process is ready. s.mu is held.
func (s *sidecar) startOnce(ctx context.Context) error {
	if s.address == "" {
		var err error
		if s.address, err = s.run.hosts.address(s.host); err != nil {
			return err
		}
	}
	s.starts++
	s.seedStep++
	known := s.run.discoveries[s.tier].LastDelivered(s.name)
	path := filepath.Join(s.run.dir, s.name+".json")
	text, err := json.Marshal(s.configuration(known))
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	logPath := ""
	if s.run.opts.LogDir != "" {
		logPath = filepath.Join(s.run.opts.LogDir, s.name+".log")
	}
	s.run.checker.Do(func(c *oracle.Checker) { c.SidecarStarted(s.run.checker.Now(), s.name, known.Index) })
	if s.proc, err = startProcess(s.run.opts.Sidecar(), s.name, path, logPath); err != nil {
		return err
	}
	if err := waitReady(ctx, s.address, s.proc); err != nil {
		s.proc.stop(syscall.SIGKILL)
		s.proc.wait(exitTimeout)
		return fmt.Errorf("sidecar %s at %s: %w: %s", s.name, s.address, err, s.proc.lastLine)
	}
	s.target = &load.Target{Name: s.name, Address: s.address}
	return nil
}

// waitReady waits until GET /up answers 200. It fails if the process ends or if readyTimeout passes.
func waitReady(ctx context.Context, address string, p *process) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/up", nil)
		if err != nil {
			return err
		}
		if answer, err := client.Do(r); err == nil {
			answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("not ready: %w", ctx.Err())
		case <-p.exited:
			return fmt.Errorf("the process ended during its start")
		case <-time.After(pollInterval):
		}
	}
}

// currentTarget returns the target of the last start.
func (s *sidecar) currentTarget() *load.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.target
}

// kill ends the process with SIGKILL. The requests that it held count as interrupted by the lab, not as lost by the sidecar.
func (s *sidecar) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.proc == nil {
		return
	}
	s.sampleLocked()
	if s.target != nil { // the process had become ready
		s.target.Stopped.Store(true)
	}
	s.proc.stop(syscall.SIGKILL)
	s.proc.wait(exitTimeout)
}

// terminateTimeout returns how long a sidecar has after SIGTERM until it is killed: the longest deadline of a class, at most 3 s,
// plus 0.7 s, as the published protocol states it.
func (s *sidecar) terminateTimeout() time.Duration {
	const maxDeadline, extra = 3 * time.Second, 700 * time.Millisecond
	longest := time.Duration(0)
	for _, c := range s.run.scenario.Classes {
		longest = max(longest, c.Deadline)
	}
	return min(longest, maxDeadline) + extra
}

// terminate sends SIGTERM, and kills the process if it has not ended within terminateTimeout. Requests that the sidecar has not
// answered by then count as lost by it.
func (s *sidecar) terminate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.proc == nil {
		return
	}
	s.sampleLocked()
	s.proc.stop(syscall.SIGTERM)
	if !s.proc.wait(s.terminateTimeout()) {
		s.proc.stop(syscall.SIGKILL)
		s.proc.wait(exitTimeout)
	}
}

// sampleLocked records the resource usage of the process and whether it has crashed. s.mu is held.
func (s *sidecar) sampleLocked() {
	if s.proc == nil {
		return
	}
	s.crashed = s.crashed || s.proc.crashed()
	if u, err := s.proc.usage(); err == nil {
		s.peakUsage.rssMB, s.peakUsage.cpu, s.peakUsage.fds = max(s.peakUsage.rssMB, u.rssMB), u.cpu, max(s.peakUsage.fds, u.fds)
	}
}

// sampleUsage is sampleLocked with the lock taken.
func (s *sidecar) sampleUsage() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sampleLocked()
}

// finish stops the process and returns its part of the record, with its counters if withCounters is set.
func (s *sidecar) finish(withCounters bool) record.Sidecar {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sampleLocked()
	r := record.Sidecar{
		Name: s.name, Tier: s.tier, Starts: s.starts, Crashed: s.crashed, RSSMB: s.peakUsage.rssMB, CPU: s.peakUsage.cpu, FDs: s.peakUsage.fds,
	}
	if s.proc == nil {
		return r
	}
	if withCounters {
		r.Counters = s.proc.requestCounters()
	}
	if s.target != nil {
		s.target.Stopped.Store(true)
	}
	s.proc.stop(syscall.SIGKILL)
	s.proc.wait(exitTimeout)
	return r
}

// configuration returns the sidecar's configuration in the form that the platform writes.
func (s *sidecar) configuration(known fake.List) map[string]any {
	sc := s.run.scenario
	return map[string]any{
		"name": s.name, "listen": s.address, "discovery": s.discoveryAddress,
		"seed":     strconv.FormatUint(s.run.seed*1_000_003+s.seedStep*101+uint64(s.tier*1000+s.number), 16),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": sc.Limits.MemoryMB, "sockets": sc.Limits.Sockets},
		"known":    known,
		"settings": s.settings(),
	}
}

// millis returns a duration in milliseconds.
func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// settings returns the settings part of the sidecar's configuration.
func (s *sidecar) settings() map[string]any {
	sc := s.run.scenario
	stages := make([]string, len(sc.Tiers))
	for i, t := range sc.Tiers {
		stages[i] = t.Name
	}
	profiles := make([]any, len(sc.Classes))
	for i, c := range sc.Classes {
		profiles[i] = profile(c)
	}
	parties := []any{}
	for _, t := range sc.Tenants {
		if t.Allowed > 0 {
			parties = append(parties, map[string]any{"name": t.Name, "allowance_per_s": t.Allowed, "portion": t.Portion})
		}
	}
	family := ""
	if s.perCaller {
		family = "mesh"
	}
	l, r := sc.Limits, sc.Rules
	return map[string]any{
		"family": family, "me": s.number, "replicas_of_me": s.peers, "az": s.zone, "tier": s.tier, "stages": stages, "tick": 2.0,
		"membership_mode": sc.Tiers[s.tier].ListBy, "weights": "silent", "worth_by": "request",
		"over_share_worth": 0.1,
		"bounds": map[string]any{
			"cancel": l.Cancel, "second_copies": l.Hedging, "retry_after": l.RetryAfter, "probing": false,
			"max_attempts": l.MaxAttempts, "max_retry_after": millis(l.MaxRetryAfter),
			"connect_timeout": millis(l.ConnectTimeout), "conn_idle": millis(l.ConnIdle), "most_held": l.MaxPending,
		},
		"rules": map[string]any{
			"answer_slack": millis(r.AnswerSlack), "ask_every": millis(r.PollEvery), "cold": millis(r.Cold),
			"cold_from": r.ColdFrom, "drain_grace": millis(r.DrainGrace), "fall_multiple": r.OverloadMultiple,
			"overload_for": millis(r.OverloadFor),
		},
		"profiles": profiles, "parties": parties,
	}
}

// effectNames are the names of effects in the settings.
var effectNames = map[decide.Effect]string{
	decide.Safe: "repeatable", decide.Keyed: "by_key", decide.Unsafe: "once",
}

// profile returns the settings of a class.
func profile(c scenario.Class) map[string]any {
	return map[string]any{
		"name": c.Name, "effect": effectNames[c.Effect], "group": c.Group, "window": millis(c.Window), "aim": millis(c.Aim),
		"deadline": millis(c.Deadline), "worth": c.Worth, "late_share": c.LateShare, "stream": false,
	}
}

// front gives connections to the sidecars of the first tier in turn. It learns with a delay that a sidecar has died, as a real
// front would, so that it may choose a dead one.
type front struct {
	mu      sync.Mutex
	targets []*load.Target
	next    int
}

// Pick returns the sidecar for the next connection, or nil if there is none.
func (f *front) Pick() *load.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.targets) == 0 {
		return nil
	}
	f.next++
	return f.targets[f.next%len(f.targets)]
}

func (f *front) add(t *load.Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.targets = append(f.targets, t)
}

func (f *front) remove(t *load.Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, other := range f.targets {
		if other == t {
			f.targets = append(f.targets[:i:i], f.targets[i+1:]...)
			return
		}
	}
}

// Options are the options of a run.
type Options struct {
	Sidecar func() *exec.Cmd // returns a command that runs one sidecar, which reads BALANCER_CONFIG
	Policy  string           // name of the policy, for the record
	LogDir  string           // for the sidecars' logs; empty for none
	// Progress receives a line every second; nil for none.
	Progress func(line string)
	Proxy    func(address string) (string, error) // if set, puts a proxy before each sidecar of the first tier and returns its address
}
