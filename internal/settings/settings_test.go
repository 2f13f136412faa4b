package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/valyala/fastjson"

	"heathgap/decide"
)

func parse(t *testing.T, text string) *fastjson.Value {
	t.Helper()
	v, err := fastjson.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func TestDecode(t *testing.T) {
	s, transport, err := Decode(parse(t, `{"me":2,"replicas_of_me":5,"az":"z","tier":1,"stages":["a","b","c"],
		"membership_mode":"subscribe","weights":"rough","worth_by":"work","tick":2.5,"unknown":{},
		"bounds":{"cancel":true,"max_attempts":4,"connect_timeout":75,"conn_idle":10000,"most_held":7},
		"rules":{"drain_grace":1000,"cold_from":0.3,"removal_not_binding":true},"deductions":{"waste":0.05},
		"profiles":[{"name":"p","effect":"by_key","group":"cell","window":4000,"aim":800,"deadline":2000,"worth":3}],
		"parties":[{"name":"t","allowance_per_s":13,"portion":0.4}]}`))
	if err != nil {
		t.Fatal(err)
	}
	if s.Number != 2 || s.Peers != 5 || s.Zone != "z" || s.Front || s.Depth != 1 || !s.MustPoll || !s.WeightKnown ||
		!s.HintsWork || s.Tick != 2500*time.Microsecond {
		t.Errorf("head: %+v", s)
	}
	if !s.Limits.Cancel || s.Limits.MaxAttempts != 4 || s.Rules.DrainGrace != time.Second || !s.Rules.RemovalNotBinding || s.Prices.Waste != 0.05 {
		t.Errorf("limits, rules, prices: %+v", s)
	}
	want := decide.Class{
		Name: "p", Effect: decide.Keyed, Group: decide.GroupCell, Window: 4 * time.Second,
		Aim: 800 * time.Millisecond, Deadline: 2 * time.Second, Worth: 3,
	}
	if len(s.Classes) != 1 || s.Classes[0] != want {
		t.Errorf("classes: %+v, want %+v", s.Classes, want)
	}
	if len(s.Tenants) != 1 || s.Tenants[0].Allowed != 13 {
		t.Errorf("tenants: %+v", s.Tenants)
	}
	if transport != (Transport{ConnectTimeout: 75 * time.Millisecond, IdleTimeout: 10 * time.Second, MaxPending: 7}) {
		t.Errorf("transport: %+v", transport)
	}
}

// Settings for a sidecar beside every client (family "mesh") are decoded; with another family they are those of a pool.
func TestDecodePerCaller(t *testing.T) {
	const classes = `"profiles":[{"name":"p","effect":"once","aim":800,"deadline":2000,"worth":3}]`
	s, _, err := Decode(parse(t, `{"family":"mesh","bounds":{"probing":true},"deductions":{"probe":0.002},
		"report":{"how":"pull","fields":["utilization","recent_ms","outstanding"]},`+classes+`}`))
	if err != nil {
		t.Fatal(err)
	}
	if s.Entry != decide.PerCaller || !s.Limits.Probing || s.Prices.Probe != 0.002 || s.Report.Mode != decide.ReportWithProbes {
		t.Errorf("%+v", s)
	}
	want := decide.Load{Outstanding: 3, Utilization: 0.5}
	if got := s.Report.Read([]float64{0.5, 70, 3}); got != want {
		t.Errorf("a report reads as %+v, want %+v", got, want)
	}
	if got := s.Report.Read(nil); got.Outstanding >= 0 || got.Utilization >= 0 {
		t.Errorf("no report reads as %+v", got)
	}
	s, _, err = Decode(parse(t, `{"family":"chain","report":{"how":"silent"},`+classes+`}`))
	if err != nil || s.Entry != decide.Pooled || s.Report.Mode != decide.ReportNever || s.Limits.Probing {
		t.Errorf("a pool: %+v, %v", s, err)
	}
}

// Each error names the key that is at fault, with its path.
func TestDecodeNamesTheKey(t *testing.T) {
	for text, want := range map[string]string{
		`[]`:                               "want an object",
		`{"me":"x"}`:                       "me: want a number",
		`{"bounds":[]}`:                    "bounds: want an object",
		`{"bounds":{"cancel":1}}`:          "bounds.cancel: want true or false",
		`{"rules":{"cold":"long"}}`:        "rules.cold: want a number of milliseconds",
		`{"profiles":{}}`:                  "profiles: want an array",
		`{"profiles":[7]}`:                 "profiles[0]: want an object",
		`{"profiles":[{},{"effect":"?"}]}`: "profiles[1].effect: unknown value",
		`{"parties":[{"name":1}]}`:         "parties[0].name: want a string",
		`{"report":{"how":"loudly"}}`:      "report.how: unknown value",
		`{"report":{"fields":[1]}}`:        "report.fields[0]: want a string",
		`{"deductions":{"probe":"dear"}}`:  "deductions.probe: want a number",

		`{"rules":{"removal_not_binding":1}}`: "rules.removal_not_binding: want true or false",
	} {
		if _, _, err := Decode(parse(t, text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want %q in it", text, err, want)
		}
	}
}
