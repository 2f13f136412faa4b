package rig

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"heathgap/decide"
	"heathgap/internal/lab/load"
	"heathgap/internal/lab/scenario"
	"heathgap/internal/lab/truth"
)

// Overhead is what a sidecar adds to a request.
type Overhead struct {
	Requests   int     // by each way
	DirectP50  float64 // ms, from when a request was due
	DirectP99  float64
	SidecarP50 float64
	SidecarP99 float64
	CPU        float64 // microseconds of the sidecar's processor for a request
	Lag        float64 // ms, the load's own at the 99th percentile
}

// overheadScene is a fleet in which nothing waits: what is measured is the way.
const overheadScene = `
name = "overhead"
duration = "1h"
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

// MeasureOverhead sends every other request straight to an endpoint and the rest
// through one sidecar, at so many a second in all.
func MeasureOverhead(ctx context.Context, rate float64, long time.Duration, opts Options) (Overhead, error) {
	scene, err := scenario.Parse("overhead", []byte(overheadScene))
	if err != nil {
		return Overhead{}, err
	}
	scene.Load.Rate, scene.Duration = rate, long
	dir, err := os.MkdirTemp("", "heathlab-")
	if err != nil {
		return Overhead{}, err
	}
	defer os.RemoveAll(dir)
	r := newRig(scene, 1, opts, dir)
	r.share(truth.NewService(nil, 0))
	defer r.endAll()
	if err := r.startAll(ctx); err != nil {
		return Overhead{}, err
	}
	direct := &front{}
	for _, s := range r.tiers[0].slots {
		direct.add(&load.Target{Name: "direct", Address: s.present().Address()})
	}
	clients := [2]*load.Client{
		load.NewClient(r.book, direct, r.grace()), load.NewClient(r.book, r.front, r.grace()),
	}
	took, lag := [2]*hdrhistogram.Histogram{newLatencies(), newLatencies()}, newLatencies()
	before, err := r.first[0].proc.usage()
	if err != nil {
		return Overhead{}, err
	}
	var mu sync.Mutex
	var wait sync.WaitGroup
	failed := 0
	base := r.book.Now()
	for src := scene.Plan().Arrivals(1); ctx.Err() == nil; {
		a, ok := src.Next()
		if !ok {
			break
		}
		time.Sleep(base + a.At - r.book.Now())
		wait.Go(func() {
			late := r.book.Now() - base - a.At
			way := a.Number % len(clients)
			result := clients[way].Send(ctx, load.Ask{
				ID: fmt.Sprintf("o%d", a.Number), Class: "look", Effect: decide.Safe, Until: base + a.At + 2*time.Second,
			})
			end := r.book.Now() - base - a.At
			mu.Lock()
			defer mu.Unlock()
			lag.RecordValue(max(1, int64(late))) //nolint:errcheck // it is within bounds
			if result.How != load.Answered || result.Verdict != truth.Served {
				failed++
				return
			}
			took[way].RecordValue(int64(end)) //nolint:errcheck // it is within bounds
		})
	}
	wait.Wait()
	after, err := r.first[0].proc.usage()
	if err != nil {
		return Overhead{}, err
	}
	n := int(took[1].TotalCount())
	if failed > 0 || n == 0 {
		return Overhead{}, fmt.Errorf("%d requests failed and %d were served: nothing to measure", failed, n)
	}
	at := func(h *hdrhistogram.Histogram, q float64) float64 { return millis(time.Duration(h.ValueAtQuantile(q))) }
	return Overhead{
		Requests: n, DirectP50: at(took[0], 50), DirectP99: at(took[0], 99),
		SidecarP50: at(took[1], 50), SidecarP99: at(took[1], 99),
		CPU: (after.cpu - before.cpu) * 1e6 / float64(n), Lag: at(lag, 99),
	}, nil
}

func newLatencies() *hdrhistogram.Histogram { return hdrhistogram.New(1, int64(time.Minute), 3) }
