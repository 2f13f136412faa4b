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

// startTries is how often a sidecar is started at other ports where one was taken
// between its choice and its use.
const startTries = 5

// sidecar is one sidecar over all its starts.
type sidecar struct {
	rig    *rig
	name   string
	tier   int // it sends to
	number int // among its peers
	peers  int
	own    bool // the settings say that each caller has one of its own
	zone   string
	host   string
	list   string // address of its discovery

	mu      sync.Mutex
	address string
	proc    *process
	target  *load.Target
	starts  int
	crashed bool
	top     usage
	random  uint64
}

// settle gives it a host, and a discovery that listens at another.
func (s *sidecar) settle() error {
	var err error
	if s.host, err = s.rig.hosts.take(); err != nil {
		return err
	}
	at, err := s.rig.hosts.take()
	if err != nil {
		return err
	}
	s.list, err = s.rig.lists[s.tier].OpenFor(s.name, at)
	return err
}

// start starts it, at its address if it has one, and returns when it is ready.
func (s *sidecar) start(ctx context.Context) (*load.Target, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tries := startTries
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

func (s *sidecar) startOnce(ctx context.Context) error {
	if s.address == "" {
		var err error
		if s.address, err = s.rig.hosts.address(s.host); err != nil {
			return err
		}
	}
	s.starts++
	s.random++
	known := s.rig.lists[s.tier].LastDelivered(s.name)
	path := filepath.Join(s.rig.dir, s.name+".json")
	text, err := json.Marshal(s.config(known))
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	logPath := ""
	if s.rig.opts.LogDir != "" {
		logPath = filepath.Join(s.rig.opts.LogDir, s.name+".log")
	}
	s.rig.book.Do(func(b *oracle.Checker) { b.SidecarStarted(s.rig.book.Now(), s.name, known.Index) })
	if s.proc, err = startProcess(s.rig.opts.Sidecar(), s.name, path, logPath); err != nil {
		return err
	}
	if err := waitUp(ctx, s.address, s.proc); err != nil {
		s.proc.end(syscall.SIGKILL)
		s.proc.wait(killTime)
		return fmt.Errorf("sidecar %s at %s: %w: %s", s.name, s.address, err, s.proc.lastLine)
	}
	s.target = &load.Target{Name: s.name, Address: s.address}
	return nil
}

// waitUp waits until GET /up answers 200.
func waitUp(ctx context.Context, address string, p *process) error {
	ctx, cancel := context.WithTimeout(ctx, upTime)
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
			return fmt.Errorf("it ended as it started")
		case <-time.After(pollPause):
		}
	}
}

// current is its newest start.
func (s *sidecar) current() *load.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.target
}

// kill ends it outright; what it held is cut, not lost.
func (s *sidecar) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.proc == nil {
		return
	}
	s.sample()
	if s.target != nil { // it had become ready
		s.target.Stopped.Store(true)
	}
	s.proc.end(syscall.SIGKILL)
	s.proc.wait(killTime)
}

// restartKill is when a sidecar that got SIGTERM is killed: the longest deadline,
// up to 3 s, and 0.7 s more, as the published protocol has it.
func (s *sidecar) restartKill() time.Duration {
	const patientFor, more = 3 * time.Second, 700 * time.Millisecond
	longest := time.Duration(0)
	for _, c := range s.rig.scene.Classes {
		longest = max(longest, c.Deadline)
	}
	return min(longest, patientFor) + more
}

// terminate asks it to end, and kills it if it has not in time: what it has not
// answered by then is its own loss.
func (s *sidecar) terminate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.proc == nil {
		return
	}
	s.sample()
	s.proc.end(syscall.SIGTERM)
	if !s.proc.wait(s.restartKill()) {
		s.proc.end(syscall.SIGKILL)
		s.proc.wait(killTime)
	}
}

// sample looks what the process takes, and whether it has ended by itself.
func (s *sidecar) sample() {
	if s.proc == nil {
		return
	}
	s.crashed = s.crashed || s.proc.crashed()
	if u, err := s.proc.usage(); err == nil {
		s.top.rssMB, s.top.cpu, s.top.fds = max(s.top.rssMB, u.rssMB), u.cpu, max(s.top.fds, u.fds)
	}
}

func (s *sidecar) watch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sample()
}

// close takes its counters and ends it.
func (s *sidecar) close(counts bool) record.Sidecar {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sample()
	r := record.Sidecar{
		Name: s.name, Tier: s.tier, Starts: s.starts, Crashed: s.crashed, RSSMB: s.top.rssMB, CPU: s.top.cpu, FDs: s.top.fds,
	}
	if s.proc == nil {
		return r
	}
	if counts {
		r.Counters = s.proc.count()
	}
	if s.target != nil {
		s.target.Stopped.Store(true)
	}
	s.proc.end(syscall.SIGKILL)
	s.proc.wait(killTime)
	return r
}

// config is the sidecar's configuration, as the platform writes it.
func (s *sidecar) config(known fake.List) map[string]any {
	scene := s.rig.scene
	return map[string]any{
		"name": s.name, "listen": s.address, "discovery": s.list,
		"seed":     strconv.FormatUint(s.rig.seed*1_000_003+s.random*101+uint64(s.tier*1000+s.number), 16),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": scene.Limits.MemoryMB, "sockets": scene.Limits.Sockets},
		"known":    known,
		"settings": s.settings(),
	}
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (s *sidecar) settings() map[string]any {
	scene := s.rig.scene
	stages := make([]string, len(scene.Tiers))
	for i, t := range scene.Tiers {
		stages[i] = t.Name
	}
	profiles := make([]any, len(scene.Classes))
	for i, c := range scene.Classes {
		profiles[i] = profile(c)
	}
	parties := []any{}
	for _, t := range scene.Tenants {
		if t.Allowed > 0 {
			parties = append(parties, map[string]any{"name": t.Name, "allowance_per_s": t.Allowed, "portion": t.Portion})
		}
	}
	family := ""
	if s.own {
		family = "mesh"
	}
	l, r := scene.Limits, scene.Rules
	return map[string]any{
		"family": family, "me": s.number, "replicas_of_me": s.peers, "az": s.zone, "tier": s.tier, "stages": stages, "tick": 2.0,
		"membership_mode": scene.Tiers[s.tier].ListBy, "weights": "silent", "worth_by": "request",
		"over_share_worth": 0.1,
		"bounds": map[string]any{
			"cancel": l.Cancel, "second_copies": l.Hedging, "retry_after": l.RetryAfter, "probing": false,
			"max_attempts": l.MaxAttempts, "max_retry_after": millis(l.MaxRetryAfter),
			"connect_timeout": millis(l.ConnectTimeout), "conn_idle": millis(l.ConnIdle), "most_held": l.MaxPending,
		},
		"rules": map[string]any{
			"answer_slack": millis(r.AnswerSlack), "ask_every": millis(r.AskEvery), "cold": millis(r.Cold),
			"cold_from": r.ColdFrom, "drain_grace": millis(r.DrainGrace), "fall_multiple": r.FallMultiple,
			"overload_for": millis(r.OverloadFor),
		},
		"profiles": profiles, "parties": parties,
	}
}

// effectWords are the settings' words for effects.
var effectWords = map[decide.Effect]string{
	decide.Safe: "repeatable", decide.Keyed: "by_key", decide.Unsafe: "once",
}

func profile(c scenario.Class) map[string]any {
	return map[string]any{
		"name": c.Name, "effect": effectWords[c.Effect], "group": c.Group, "window": millis(c.Window), "aim": millis(c.Aim),
		"deadline": millis(c.Deadline), "worth": c.Worth, "late_share": c.LateShare, "stream": false,
	}
}

// front deals out connections among the sidecars of the first tier, in turn. It
// learns late that one has died.
type front struct {
	mu      sync.Mutex
	targets []*load.Target
	next    int
}

// Pick returns the next one.
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

// Options are those of a run.
type Options struct {
	Sidecar  func() *exec.Cmd // a command that runs one sidecar, told by BALANCER_CONFIG
	Policy   string           // its name, for the record
	LogDir   string           // for sidecars' logs; empty for none
	Progress func(line string)
	Before   func(address string) (string, error) // puts something before each sidecar of the first tier; nil for nothing
}
