package harness

import (
	"context"
	"math"
	"testing"
	"time"

	"heathgap/internal/lab/fake"
	"heathgap/internal/lab/policy"
)

// Guards against budgets that differ from the documented retry budget.
func TestBudget(t *testing.T) {
	tests := []struct {
		name          string
		own           bool
		peers, served int
		seconds       float64
		want          Budget
	}{
		{"a pool", false, 13, 1000, 10, Budget{Start: 30, Floor: 30, Served: 100}},
		{"one of its own", true, 1, 0, 10, Budget{Start: 300, Floor: 300}},
		{"ten share the whole floor of ten", true, 10, 100, 10, Budget{Start: 30, Floor: 30, Served: 10}},
		{"many: three tokens at least", true, 580, 0, 58, Budget{Start: 3, Floor: 3}},
		{"no peers told", true, 0, 0, 1, Budget{Start: 300, Floor: 30}},
	}
	for _, c := range tests {
		got := NewBudget(c.own, c.peers, c.served, c.seconds)
		if math.Abs(got.Start-c.want.Start)+math.Abs(got.Floor-c.want.Floor)+math.Abs(got.Served-c.want.Served) > 1e-9 {
			t.Errorf("%s: %+v; want %+v", c.name, got, c.want)
		}
	}
	b := Budget{Start: 3, Floor: 4, Served: 10}
	if b.Total() != 17 || b.FromFloors(8) != 0 || b.FromFloors(12) != 2 {
		t.Errorf("%+v: total %v; of 8 retries %v from floors, of 12 %v; want 17, 0, 2", b, b.Total(), b.FromFloors(8), b.FromFloors(12))
	}
	for tier, want := range map[int]float64{0: 1, 1: 1.1, 2: 1.21, 21: 7.400249944258169} {
		if got := Amplified(tier); math.Abs(got-want) > 1e-9 {
			t.Errorf("tier %d: %v; want %v", tier, got, want)
		}
	}
}

// Guards against watch requests whose version is read wrongly.
func TestAfterParameter(t *testing.T) {
	tests := []struct {
		text  string
		after int64
		ok    bool
	}{
		{"GET /discovery/hosts?after=17&wait_ms=4000 HTTP/1.1\r\nHost: x\r\n\r\n", 17, true},
		{"GET /discovery/hosts HTTP/1.1\r\n\r\n", 0, false},
		{"GET /discovery/hosts?after=&wait_ms=1 HTTP/1.1", 0, false},
		{"", 0, false},
	}
	for _, c := range tests {
		if after, ok := afterParameter([]byte(c.text)); ok != c.ok || ok && after != c.after {
			t.Errorf("%q: %d, %v; want %d, %v", c.text, after, ok, c.after, c.ok)
		}
	}
}

// A chain of three tiers with about 20 requests. Without faults, each request passes all tiers. If the last tier fails all
// requests, the attempts of each tier fail as the answers of the next tier do, and no tier sends more retries than its budget
// pays for.
func TestChain(t *testing.T) {
	conf := ChainConf{Depth: 3, Endpoints: 2, Rate: 20, For: time.Second, Deadline: 10 * time.Second, Peers: 10, PerCaller: true, Seed: 1}
	opts := Options{Sidecar: sidecarCommand(policy.Module)}
	t.Run("well", func(t *testing.T) {
		t.Parallel()
		conf := conf
		conf.CompareDirect, conf.Rate = true, 40
		m, err := MeasureChain(context.Background(), conf, opts)
		if err != nil {
			t.Fatal(err)
		}
		if m.NumViolations > 0 || m.BalanceErr != nil {
			t.Errorf("%d violations; balance of the records: %v", m.NumViolations, m.BalanceErr)
		}
		for path, w := range m.Front {
			if w.Requests < 10 || w.Served != w.Requests {
				t.Errorf("path %d: %d of %d requests served", path, w.Served, w.Requests)
			}
		}
		for n, tier := range m.Tiers {
			if n > 0 && (tier.Requests != m.Tiers[n-1].Attempts || tier.RemainingP50 >= m.Tiers[n-1].RemainingP50 || tier.RemainingP50 <= 0) {
				t.Errorf("tier %d: %d requests after %d attempts, %v ms left after %v; want one call for each attempt, with less time",
					n+1, tier.Requests, m.Tiers[n-1].Attempts, tier.RemainingP50, m.Tiers[n-1].RemainingP50)
			}
			// A hedged request may be sent on a busy machine, and canceled.
			if tier.Requests < m.Front[1].Requests || tier.Served == 0 || tier.Attempts < tier.Requests || tier.CPU <= 0 {
				t.Errorf("tier %d: %+v for %d requests", n+1, tier, m.Front[1].Requests)
			}
		}
	})
	t.Run("last tier fails", func(t *testing.T) {
		t.Parallel()
		conf := conf
		conf.Trouble, conf.Share = fake.Errors, 1
		m, err := MeasureChain(context.Background(), conf, opts)
		if err != nil {
			t.Fatal(err)
		}
		if m.NumViolations > 0 || m.BalanceErr != nil || m.Front[1].Served > 0 {
			t.Errorf("%d violations; balance of the records: %v; served %d", m.NumViolations, m.BalanceErr, m.Front[1].Served)
		}
		for n, tier := range m.Tiers {
			if tier.Attempts == 0 || tier.Outcomes["server_error"] == 0 || tier.Served > 0 {
				t.Errorf("tier %d: %+v; want attempts that fail, and nothing served", n+1, tier)
			}
			if budget := tier.Budget.Total(); float64(tier.Retries()) > budget {
				t.Errorf("tier %d: %d retries; its budget pays for %v", n+1, tier.Retries(), budget)
			}
		}
	})
}

// Measures the overhead with two small configurations, one of them with several classes.
func TestOverhead(t *testing.T) {
	opts := Options{Sidecar: sidecarCommand(policy.Module)}
	for _, conf := range []OverheadConf{
		{Endpoints: 2, Peers: 1, Classes: 1, Stages: 1},
		{Endpoints: 6, Peers: 6, Classes: 3, Stages: 3, PerCaller: true},
	} {
		conf.Rate, conf.For, conf.Seed = 30, time.Second, 1
		m, err := MeasureOverhead(context.Background(), conf, opts)
		if err != nil {
			t.Fatalf("%+v: %v", conf, err)
		}
		if m.Requests < 10 || m.EndpointsUsed < 1 || m.EndpointsUsed > conf.Endpoints || m.CPU <= 0 || m.RSSMB <= 0 || m.FDs <= 0 || m.DirectP50 <= 0 || m.SidecarP50 <= 0 {
			t.Errorf("%+v: %+v", conf, m)
		}
	}
}

// Guards against changes of a list that cost more than necessary: each watcher receives the changed lines once, and no full list.
func TestListTraffic(t *testing.T) {
	for _, conf := range []ListTrafficConf{
		{Endpoints: 20, AtOnce: 1, Changes: 6},
		{Endpoints: 20, AtOnce: 7, Changes: 4},
		{Endpoints: 20, AtOnce: 7, Changes: 4, Separately: true},
	} {
		conf.Sidecars, conf.Emulated, conf.Peers = 2, 3, 13
		m, err := MeasureListTraffic(context.Background(), conf, Options{Sidecar: sidecarCommand(policy.Module)})
		if err != nil {
			t.Fatalf("%+v: %v", conf, err)
		}
		for who, w := range map[string]Wire{"sidecars": m.Real, "emulated watchers": m.Emulated} {
			lines := w.LinesPerAnswer * w.Answers
			if w.FullLists != 0 || w.Answers < 1 || w.AnswerBytes <= 0 || w.RequestBytes <= 0 || math.Abs(lines-float64(conf.AtOnce)) > 1e-6 {
				t.Errorf("%+v: %s: %+v: %v lines for each change; want %d, and no full list", conf, who, w, lines, conf.AtOnce)
			}
		}
		if m.FullList.FullLists != 1 || m.FullList.LinesPerAnswer != float64(conf.Endpoints) || m.FullList.AnswerBytes < m.Emulated.AnswerBytes/m.Emulated.Answers {
			t.Errorf("%+v: the full list: %+v", conf, m.FullList)
		}
	}
}
