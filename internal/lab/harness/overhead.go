package harness

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sys/unix"

	"heathgap/decide"
	"heathgap/internal/lab/fake"
	"heathgap/internal/lab/load"
	"heathgap/internal/lab/oracle"
	"heathgap/internal/lab/record"
	"heathgap/internal/lab/scenario"
)

// OverheadConf is what a call is measured with.
type OverheadConf struct {
	Rate      float64 // requests a second by each of the two ways
	For       time.Duration
	Endpoints int    // listed, each a stand-in that takes calls
	Peers     int    // instances that the sidecar is told of: the more there are, the fewer of the endpoints it uses
	Classes   int    // in the settings; requests are of all in turn
	Stages    int    // tiers that the settings name; the sidecar sends to the first
	PerCaller bool   // the settings say that each caller has a sidecar of its own (family mesh)
	Seed      uint64 // of the arrivals
}

// Overhead is what a sidecar adds to a request, and takes for it.
type Overhead struct {
	Requests      int     // by each way
	DirectP50     float64 // ms, from when a request was due
	DirectP99     float64
	SidecarP50    float64
	SidecarP99    float64
	CPU           float64 // microseconds of the sidecar's processor for a request, with what it takes while idle
	RSSMB         float64 // most that the sidecar's process held
	FDs           int     // descriptors of the sidecar's process at the end
	EndpointsUsed int     // endpoints that the sidecar's requests came to
	Lag           float64 // ms, the load's own at the 99th percentile
}

// AddedP50 and AddedP99 are differences of quantiles, in ms.
func (c Overhead) AddedP50() float64 { return c.SidecarP50 - c.DirectP50 }

// AddedP99 is that of the 99th.
func (c Overhead) AddedP99() float64 { return c.SidecarP99 - c.DirectP99 }

// overheadScenario is a fleet in which nothing waits: what is measured is the way.
const overheadScenario = `
name = "call"
duration = "1h"
[limits]
sockets = 4096
[[class]]
name = "look"
work = "200us"
aim = "1s"
deadline = "2s"
[[tier]]
name = "front"
endpoints = 4
cores = 16
slots = 1000
[load]
rate = 1
`

// scenario is the scenario of a conf, beyond the bounds of files: there is one tier of plain stand-ins.
func (c *OverheadConf) scenario() (*scenario.Scenario, error) {
	s, err := scenario.Parse("call", []byte(overheadScenario))
	if err != nil {
		return nil, err
	}
	s.Load.Rate, s.Duration = 2*c.Rate, c.For
	s.Tiers[0].Endpoints = c.Endpoints
	first := s.Classes[0]
	for n := 1; n < c.Classes; n++ {
		more := first
		more.Name = fmt.Sprintf("%s%d", first.Name, n)
		s.Classes = append(s.Classes, more)
	}
	for n := 1; n < c.Stages; n++ {
		deeper := s.Tiers[0]
		deeper.Name = fmt.Sprintf("deeper%d", n)
		s.Tiers = append(s.Tiers, deeper)
	}
	return s, nil
}

// MeasureOverhead sends every other request straight to an endpoint and the rest through one sidecar.
func MeasureOverhead(ctx context.Context, conf OverheadConf, opts Options) (Overhead, error) {
	sc, err := conf.scenario()
	if err != nil {
		return Overhead{}, err
	}
	dir, err := os.MkdirTemp("", "heathlab-")
	if err != nil {
		return Overhead{}, err
	}
	defer os.RemoveAll(dir)
	r := newRun(sc, 1, opts, dir)
	r.openChecker(oracle.NewService(nil, 0))
	defer r.stopAll()
	if err := r.startOverhead(ctx, &conf); err != nil {
		return Overhead{}, err
	}
	direct := &front{}
	for _, s := range r.tiers[0].slots {
		direct.add(&load.Target{Name: "direct", Address: s.currentEndpoint().Address()})
	}
	clients := [2]*load.Client{
		load.NewClient(r.checker, direct, r.clientGrace()), load.NewClient(r.checker, r.front, r.clientGrace()),
	}
	defer clients[0].Close()
	defer clients[1].Close()
	proc := r.firstTier[0].proc
	before, err := proc.cpuTime()
	if err != nil {
		return Overhead{}, err
	}
	var mu sync.Mutex
	used := map[string]bool{}
	clients[1].OnServed = func(endpoint string) {
		mu.Lock()
		defer mu.Unlock()
		used[endpoint] = true
	}
	m := r.sendAlternating(ctx, &conf, clients)
	after, err := proc.cpuTime()
	if err != nil {
		return Overhead{}, err
	}
	n := int(m.total[1].TotalCount())
	if m.failed > 0 || n == 0 {
		return Overhead{}, fmt.Errorf("%d requests failed and %d were served: nothing to measure", m.failed, n)
	}
	u, err := proc.usage()
	if err != nil {
		return Overhead{}, err
	}
	if counters := proc.requestCounters(); counters != nil && counters.Sent < n {
		return Overhead{}, fmt.Errorf("the sidecar sent %d attempts for %d requests: some did not go through it", counters.Sent, n)
	}
	return Overhead{
		Requests: n, DirectP50: quantile(m.total[0], 50), DirectP99: quantile(m.total[0], 99),
		SidecarP50: quantile(m.total[1], 50), SidecarP99: quantile(m.total[1], 99),
		CPU: float64((after - before).Microseconds()) / float64(n), RSSMB: u.rssMB, FDs: u.fds, EndpointsUsed: len(used),
		Lag: quantile(m.lag, 99),
	}, nil
}

// startOverhead starts the endpoints and the sidecar; tiers that settings only name have none.
func (r *run) startOverhead(ctx context.Context, conf *OverheadConf) error {
	r.discoveries = []*fake.Discovery{fake.NewDiscovery(r.checker)}
	r.tiers = []*tier{newTier(r, 0)}
	r.tiers[0].conf.Calls = 0
	if err := r.tiers[0].start(ctx); err != nil {
		return err
	}
	s := &sidecar{run: r, name: "s0", peers: conf.Peers, perCaller: conf.PerCaller, zone: "a"}
	if err := s.assignAddresses(); err != nil {
		return err
	}
	r.firstTier = append(r.firstTier, s)
	r.addSidecar(s)
	return r.startBehindFront(ctx, s)
}

// latencies is what came of a measurement's requests.
type latencies struct {
	total  [2]*hdrhistogram.Histogram // straight, and through the sidecar; ns from when a request was due
	lag    *hdrhistogram.Histogram
	failed int
}

// sendAlternating sends them as they are due.
func (r *run) sendAlternating(ctx context.Context, conf *OverheadConf, clients [2]*load.Client) *latencies {
	m := &latencies{total: [2]*hdrhistogram.Histogram{newLatencies(), newLatencies()}, lag: newLatencies()}
	var mu sync.Mutex
	var wait sync.WaitGroup
	base := r.checker.Now()
	for src := r.scenario.Plan().Arrivals(conf.Seed); ctx.Err() == nil; {
		a, ok := src.Next()
		if !ok {
			break
		}
		r.waitUntil(ctx, base+a.At)
		class := r.scenario.Classes[a.Number/len(clients)%len(r.scenario.Classes)].Name
		wait.Go(func() {
			late := r.checker.Now() - base - a.At
			path := a.Number % len(clients)
			result := clients[path].Send(ctx, load.Request{
				ID: fmt.Sprintf("o%d", a.Number), Class: class, Effect: decide.Safe, Deadline: base + a.At + r.scenario.Classes[0].Deadline,
			})
			end := r.checker.Now() - base - a.At
			mu.Lock()
			defer mu.Unlock()
			observe(m.lag, late)
			if result.Ending != load.Answered || result.Verdict != oracle.Served {
				m.failed++
				return
			}
			observe(m.total[path], end)
		})
	}
	wait.Wait()
	return m
}

// ThisMachine is the machine that figures are taken on.
func ThisMachine() record.Machine { return thisMachine() }

// timerSlack is by how much the runtime's timers may be late: where the process waits in epoll meanwhile, that counts
// whole milliseconds. The load of scenarios waits in the same way.
const timerSlack = 2 * time.Millisecond

// waitUntil waits for a time on the book's clock, the rest of it in the kernel.
func (r *run) waitUntil(ctx context.Context, at time.Duration) {
	if pause := at - r.checker.Now() - timerSlack; pause > 0 {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
	}
	if rest := at - r.checker.Now(); rest > 0 {
		nap := unix.NsecToTimespec(int64(rest))
		unix.Nanosleep(&nap, nil) //nolint:errcheck // woken early, the request is some microseconds early
	}
}

func newLatencies() *hdrhistogram.Histogram { return hdrhistogram.New(1, int64(time.Minute), 3) }

// observe books a time within the histogram's bounds.
func observe(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(min(max(1, int64(d)), int64(time.Minute))) //nolint:errcheck // it is within bounds
}

// quantile (0 to 100) of a histogram, in ms.
func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return millis(time.Duration(h.ValueAtQuantile(q)))
}

// cpuTime is the processor time that a process has had, to the nanosecond: the ticks of usage are 10 ms, a hundred requests.
// What a thread ran that has ended is missing; the runtime keeps its threads.
func (p *process) cpuTime() (time.Duration, error) {
	paths, err := filepath.Glob(filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), "task", "*", "schedstat"))
	if err != nil || len(paths) == 0 {
		return 0, fmt.Errorf("process %s: no schedstat under /proc: %w", p.name, os.ErrNotExist)
	}
	sum := time.Duration(0)
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return 0, err
		}
		ran, _, _ := strings.Cut(string(text), " ")
		ns, err := strconv.ParseInt(ran, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("%s: %w", path, err)
		}
		sum += time.Duration(ns)
	}
	return sum, nil
}
