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

// OverheadConf describes a measurement of a sidecar's overhead.
type OverheadConf struct {
	Rate      float64 // requests a second along each of the two paths, direct and through the sidecar
	For       time.Duration
	Endpoints int    // in the list; all exist
	Peers     int    // number of peers in the sidecar's settings: with more peers it uses fewer of the endpoints
	Classes   int    // in the settings; requests use them in turn
	Stages    int    // tiers in the settings; the sidecar sends to the first one
	PerCaller bool   // the settings state that each caller has its own sidecar (family mesh)
	Seed      uint64 // of the arrival times
}

// Overhead is what a sidecar adds to a request's latency, and what it costs.
type Overhead struct {
	Requests      int     // along each path
	DirectP50     float64 // ms, from the time when a request was due
	DirectP99     float64
	SidecarP50    float64
	SidecarP99    float64
	CPU           float64 // microseconds of the sidecar's CPU time for each request, including what it uses while idle
	RSSMB         float64 // peak of the sidecar's process
	FDs           int     // open descriptors of the sidecar's process at the end
	EndpointsUsed int     // endpoints that received requests of the sidecar
	Lag           float64 // ms by which the load's own requests were late, 99th percentile
}

// AddedP50 returns the difference of the two paths' medians in ms. This is not the median of the differences.
func (c Overhead) AddedP50() float64 { return c.SidecarP50 - c.DirectP50 }

// AddedP99 returns the difference of the two paths' 99th percentiles in ms.
func (c Overhead) AddedP99() float64 { return c.SidecarP99 - c.DirectP99 }

// overheadScenario has enough capacity that no request waits at an endpoint, so that the latency is that of the path.
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

// scenario returns the scenario of the measurement: one tier of fake endpoints, and Stages-1 further tiers that exist only in the
// sidecar's settings. It may be larger than the limits of scenario files allow.
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

// MeasureOverhead sends every second request directly to an endpoint and the others through one sidecar, and compares the two.
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
	n := int(m.latency[1].TotalCount())
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
		Requests: n, DirectP50: quantile(m.latency[0], 50), DirectP99: quantile(m.latency[0], 99),
		SidecarP50: quantile(m.latency[1], 50), SidecarP99: quantile(m.latency[1], 99),
		CPU: float64((after - before).Microseconds()) / float64(n), RSSMB: u.rssMB, FDs: u.fds, EndpointsUsed: len(used),
		Lag: quantile(m.lag, 99),
	}, nil
}

// startOverhead starts the endpoints and the sidecar. Further tiers exist only in the settings.
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

// overheadSamples holds the measurements of the requests.
type overheadSamples struct {
	latency [2]*hdrhistogram.Histogram // direct, and through the sidecar; ns from the time when a request was due
	lag     *hdrhistogram.Histogram    // of sending, behind the time when a request was due
	failed  int
}

// sendAlternating sends the requests at their times, along the two paths in turn.
func (r *run) sendAlternating(ctx context.Context, conf *OverheadConf, clients [2]*load.Client) *overheadSamples {
	m := &overheadSamples{latency: [2]*hdrhistogram.Histogram{newHistogram(), newHistogram()}, lag: newHistogram()}
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
			observe(m.latency[path], end)
		})
	}
	wait.Wait()
	return m
}

// ThisMachine describes the machine that measurements are taken on.
func ThisMachine() record.Machine { return thisMachine() }

// timerSlack is how late the runtime's timers may fire: while the process waits in epoll, they have a resolution of whole
// milliseconds. The load of scenarios waits in the same way.
const timerSlack = 2 * time.Millisecond

// waitUntil waits for a time on the checker's clock. It sleeps in the kernel for the last part, which is more precise than a
// timer.
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
		unix.Nanosleep(&nap, nil) //nolint:errcheck // if woken early, the request is sent some microseconds early
	}
}

// newHistogram returns a histogram of latencies in ns, up to a minute.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, int64(time.Minute), 3) }

// observe records a duration, limited to the histogram's bounds.
func observe(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(min(max(1, int64(d)), int64(time.Minute))) //nolint:errcheck // the value is within the bounds
}

// quantile returns a quantile (0 to 100) of a histogram in ms.
func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return millis(time.Duration(h.ValueAtQuantile(q)))
}

// cpuTime returns the CPU time of the process, with a resolution of ns. That of usage is too coarse: it counts ticks of 10 ms, the
// CPU time of about a hundred requests. The time of threads that have ended is missing, but the Go runtime keeps its threads.
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
