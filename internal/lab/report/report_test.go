package report

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"heathgap/internal/lab/oracle"
	"heathgap/internal/lab/record"
)

func someRecord(policy string, seed uint64, service float64) *record.Record {
	return &record.Record{
		Version: record.Version, Scenario: "calm", Policy: policy, Seed: seed, Service: service,
		Classes: map[string]oracle.Stats{"look": {Requests: 3, Service: 0.5}}, Tenants: map[string]oracle.Stats{},
		Rules: map[oracle.Rule]int{oracle.LostRequest: 2}, Series: []oracle.Second{{Requests: 3, Wanted: 3, Earned: 1}, {}},
		Violations: []oracle.Violation{{Rule: oracle.LostRequest, What: "request <1>: no answer"}},
		Sidecars:   []record.Sidecar{{Name: "s0", Starts: 1, Tally: &oracle.Tally{Requests: 3}}},
	}
}

// Guards against a record that is not read back as it was written, and against a page that lacks
// parts of it or contains its texts as markup.
func TestWrite(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "a", "b")
	r := someRecord("heathgap", 7, 0.25)
	if err := Write(dir, r); err != nil {
		t.Fatal(err)
	}
	back, err := record.Load(filepath.Join(dir, "record.json"))
	if err != nil || back.Seed != 7 || back.Service != 0.25 || back.Rules[oracle.LostRequest] != 2 {
		t.Errorf("read back %+v, %v", back, err)
	}
	text, err := os.ReadFile(filepath.Join(dir, "report.html"))
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"Service 0.250", "lost 2", "request &lt;1&gt;: no answer", "class look", "<svg"} {
		if !strings.Contains(string(text), want) {
			t.Errorf("the page lacks %q", want)
		}
	}
	if svg, err := os.ReadFile(filepath.Join(dir, "requests.svg")); err != nil || !bytes.Contains(svg, []byte("</svg>")) {
		t.Errorf("the plot: %v", err)
	}
}

// Guards against reading a record of another version as if it were of this one.
func TestOtherVersionIsRejected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r.json")
	r := someRecord("x", 1, 1)
	r.Version = record.Version + 1
	if err := r.Save(path); err != nil {
		t.Fatal(err)
	}
	if _, err := record.Load(path); err == nil || !strings.Contains(err.Error(), "version 2") {
		t.Errorf("%v", err)
	}
}

// Guards against wrong statistics: the median, the interval and the sign test's p-value of known
// pairs.
func TestStats(t *testing.T) {
	if s := StatsOf([]float64{3, 1, 2, 10}); s != (Stats{1, 2.5, 10}) {
		t.Errorf("%+v", s)
	}
	p := Pair([]float64{1, 1, 1, 1, 1}, []float64{2, 2, 2, 2, 2})
	if p.Median != 1 || p.Low != 1 || p.High != 1 || p.Above != 5 || p.P != 0.0625 {
		t.Errorf("five pairs, all one better: %+v", p)
	}
	p = Pair([]float64{1, 2, 3, 4}, []float64{2, 1, 3, 4})
	if p.Median != 0 || p.Above != 1 || p.Below != 1 || p.P != 1 {
		t.Errorf("no difference: %+v", p)
	}
	if p.Low > p.Median || p.High < p.Median {
		t.Errorf("the interval does not contain the median: %+v", p)
	}
}

// Guards against a comparison that does not pair runs by seed, that counts void runs, or that
// accepts an unknown metric or records of two scenarios.
func TestCompare(t *testing.T) {
	s := NewComparison()
	for seed, service := range []float64{0.5, 0.6, 0.7} {
		s.Add("heathgap", someRecord("heathgap", uint64(seed), service))
		s.Add("random", someRecord("random", uint64(seed), service-0.1))
	}
	void := someRecord("random", 9, 0)
	void.Void = []string{"late"}
	s.Add("random", void)
	var out bytes.Buffer
	if err := s.Print(&out, "service"); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"heathgap  3      0.500  0.600   0.700  6", "random    3      0.400  0.500   0.600  8", "-0.100", "0 up, 3 down", "1 void"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("printed\n%s\nwithout %q", &out, want)
		}
	}
	if err := s.Print(&out, "beauty"); err == nil {
		t.Error("an unknown metric is not rejected")
	}
	if err := s.Print(&out, "class:look"); err != nil {
		t.Error(err)
	}
	other := someRecord("random", 1, 1)
	other.Scenario = "storm"
	s.Add("other", other)
	if err := s.Print(&out, "service"); err == nil {
		t.Error("records of two scenarios are not rejected")
	}
}
