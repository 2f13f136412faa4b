package simwire

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// conf holds the settings of the instances in these tests.
const conf = `{"az":"hill","tick":5,"tier":0,"stages":["web","store"],"replicas_of_me":2,"unheard_of":[1],` +
	`"membership_mode":"automatic","weights":"silent","worth_by":"request","over_share_worth":0.1,` +
	`"bounds":{"cancel":true,"max_attempts":3,"retry_after":false,"second_copies":false},` +
	`"rules":{"answer_slack":20,"cold":8000,"cold_from":0.3,"fall_multiple":2,"overload_for":2000,"drain_grace":1000},` +
	`"parties":[{"name":"guild","allowance_per_s":50,"portion":1}],` +
	`"profiles":[{"name":"read","aim":200,"deadline":1000,"worth":1,"effect":"repeatable","group":"all"},` +
	`{"name":"pay","aim":200,"deadline":1000,"worth":2,"late_share":0.5,"effect":"by_key","group":"cell","window":400}]}`

func powerOn(name string) string {
	return `["power_on","` + name + `",77,` + conf + `],["list",0,[[901,"hill","std",4,"active",1,null]]],` +
		`["directory_update","` + name + `",1,"restored",0]`
}

// repliesTo has a new host handle batches and returns its replies.
func repliesTo(t *testing.T, batches ...string) []string {
	t.Helper()
	var out bytes.Buffer
	if err := NewHost().Serve(strings.NewReader(strings.Join(batches, "\n")), &out); err != nil {
		t.Fatalf("%v after %s", err, out.String())
	}
	return strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n")
}

func TestConversation(t *testing.T) {
	steps := []struct{ batch, reply string }{
		{`{"ts":100,"input":[]}`, `{"steps":[]}`},
		{`{"ts":100.5,"input":[` + powerOn("sidecar-1") + `,` + powerOn("sidecar-2") + `]}`, `{"steps":[]}`},
		{`{"ts":110,"input":[["request","sidecar-1",4503599627370495,"pay",4,null,"00000000000000ff","guild",240.125]]}`,
			`{"steps":[["send","sidecar-1",4503599627370495,901,0],["defer","sidecar-1",235.125,"due"]]}`},
		{`{"ts":120.25,"input":[["finished","sidecar-1",4503599627370495,0,901,"OK",10.25,true,null],` +
			`["hangup","sidecar-1",4503599627370495],["peer","sidecar-1",1,"hi"],["wakeup","sidecar-2","due"]]}`,
			`{"steps":[]}`},
		{`{"ts":130,"input":[["request","sidecar-2",5,"read",3,12.5,null,0,100],` +
			`["finished","sidecar-2",5,0,901,"RESOURCE_EXHAUSTED",99,false]]}`,
			`{"steps":[["send","sidecar-2",5,901,0],["defer","sidecar-2",95,"due"],["send","sidecar-2",5,901,0]]}`},
		{`{"ts":230,"input":[["finished","sidecar-2",5,1,901,"DEADLINE_EXCEEDED",100,false,null]]}`,
			`{"steps":[["bounce","sidecar-2",5,0]]}`},
		{`{"ts":240,"input":[["killed","sidecar-2"],` + powerOn("sidecar-2") + `]}`, `{"steps":[]}`},
	}
	var batches []string
	for _, step := range steps {
		batches = append(batches, step.batch)
	}
	got := repliesTo(t, batches...)
	if len(got) != len(steps) {
		t.Fatalf("%d replies to %d batches", len(got), len(steps))
	}
	for i, step := range steps {
		if got[i] != step.reply {
			t.Errorf("batch %s\ngot  %s\nwant %s", step.batch, got[i], step.reply)
		}
	}
}

// Endpoints that report their load to probes are probed, and the reports decide where the request
// goes.
func TestProbesOnTheWire(t *testing.T) {
	on := strings.Replace(powerOn("sidecar-1"), `"cancel":true`, `"cancel":true,"probing":true`, 1)
	on = strings.Replace(on, `"az":"hill"`, `"az":"hill","family":"mesh","report":{"how":"pull","fields":["outstanding","utilization"]}`, 1)
	on = strings.Replace(on, `[[901,"hill","std",4,"active",1,null]]`,
		`[[901,"hill","std",4,"active",1,null],[902,"hill","std",4,"active",1,null]]`, 1)
	got := repliesTo(t, `{"ts":1,"input":[`+on+`]}`,
		`{"ts":2,"input":[["request","sidecar-1",5,"read",0,null,null,0,500]]}`,
		`{"ts":3,"input":[["probe_result","sidecar-1",901,"OK",1,[4,0.9]],["probe_result","sidecar-1",902,"OK",1,[0,null]]]}`)
	for _, want := range []string{`["poll","sidecar-1",901]`, `["poll","sidecar-1",902]`} {
		if !strings.Contains(got[1], want) {
			t.Errorf("got %s, want %s in it", got[1], want)
		}
	}
	if !strings.Contains(got[2], `["send","sidecar-1",5,902,0]`) {
		t.Errorf("got %s, want a send to the idle endpoint", got[2])
	}
}

// An instance must act in the same way alone and beside others.
func TestInstancesShareNothing(t *testing.T) {
	events := func(name string) []string {
		return []string{
			powerOn(name),
			`["request","` + name + `",1,"read",0,null,null,0,500],["request","` + name + `",2,"pay",0,null,null,"guild",500]`,
			`["finished","` + name + `",1,0,901,"INTERNAL",9,false,null]`,
			`["wakeup","` + name + `","due"]`,
		}
	}
	one, two := events("sidecar-1"), events("sidecar-2")
	var alone, beside []string
	for i := range one {
		at := `{"ts":` + strings.Repeat("1", i+3) + `,"input":[`
		alone = append(alone, at+one[i]+`]}`)
		beside = append(beside, at+two[i]+`,`+one[i]+`]}`)
	}
	got, with := repliesTo(t, alone...), repliesTo(t, beside...)
	sent := 0
	for i := range got {
		own := strings.TrimSuffix(strings.TrimPrefix(got[i], `{"steps":[`), `]}`)
		sent += strings.Count(own, `["send"`)
		if !strings.Contains(with[i], own) {
			t.Errorf("alone %s, beside another %s", got[i], with[i])
		}
	}
	if sent == 0 {
		t.Error("the instance sent nothing")
	}
}

func TestListSlotsAreReused(t *testing.T) {
	got := repliesTo(t,
		`{"ts":1,"input":[`+powerOn("sidecar-1")+`,["list",0,[[902,"hill","std",4,"active",1,null]]],`+
			`["directory_update","sidecar-1",2,"replace",0]]}`,
		`{"ts":2,"input":[["request","sidecar-1",1,"read",0,null,null,0,500]]}`)
	if !strings.Contains(got[1], `["send","sidecar-1",1,902,0]`) {
		t.Errorf("got %s, want a send to 902, the only endpoint of the newest list", got[1])
	}
}

func TestMalformedInput(t *testing.T) {
	on := `{"ts":1,"input":[` + powerOn("sidecar-1") + `]}`
	for _, c := range []struct {
		name, batch string
		fault       bool // the reply reports it as the instance's fault
		want        []string
	}{
		{"not JSON", `{"ts":1,"input":[`, false, []string{"batch 2", "malformed JSON"}},
		{"not an object", `[]`, false, []string{"object"}},
		{"no clock", `{"input":[]}`, false, []string{"ts", "missing"}},
		{"no events", `{"ts":2}`, false, []string{"input", "missing"}},
		{"message that is no array", `{"ts":2,"input":[7]}`, false, []string{"event 0", "array"}},
		{"no instance", `{"ts":2,"input":[["request"]]}`, false, []string{"request", "sidecar", "missing"}},
		{"bad list line", `{"ts":2,"input":[["list",3,[[1,"hill","std",0,"asleep",1,null]]]]}`, false,
			[]string{"list: line 0", "phase", "asleep"}},
		{"list slot", `{"ts":2,"input":[["list",16,[]]]}`, false, []string{"buffer", "16"}},
		{"unknown event", `{"ts":2,"input":[["sneeze","sidecar-1"]]}`, true, []string{"sneeze", "unknown event"}},
		{"unknown instance", `{"ts":2,"input":[["wakeup","sidecar-9","due"]]}`, true, []string{"sidecar-9", "no such"}},
		{"wrong type", `{"ts":2,"input":[["request","sidecar-1","x","read",0,null,null,0,9]]}`, true,
			[]string{"event 0", "request", "job"}},
		{"missing value", `{"ts":2,"input":[["request","sidecar-1",1,"read",0,null,null,0]]}`, true,
			[]string{"grace", "missing"}},
		{"unknown outcome", `{"ts":2,"input":[["finished","sidecar-1",1,0,901,"SHRUG",1,false]]}`, true,
			[]string{"rc", "SHRUG"}},
		{"report that is no row", `{"ts":2,"input":[["probe_result","sidecar-1",901,"OK",1,"idle"]]}`, true,
			[]string{"gauge"}},
		{"unknown list kind", `{"ts":2,"input":[["directory_update","sidecar-1",1,"guess",0]]}`, true,
			[]string{"kind", "guess"}},
		{"settings of a wrong type", `{"ts":2,"input":[["power_on","sidecar-2",1,{"tick":"soon"}]]}`, true,
			[]string{"conf", "tick", "number"}},
		{"settings without classes", `{"ts":2,"input":[["power_on","sidecar-2",1,{"tick":5}]]}`, true,
			[]string{"conf", "classes"}},
		{"unknown effect", `{"ts":2,"input":[["power_on","sidecar-2",1,{"profiles":[{"name":"a","effect":"maybe"}]}]]}`,
			true, []string{"profiles[0].effect", "maybe"}},
	} {
		var out bytes.Buffer
		err := NewHost().Serve(strings.NewReader(on+"\n"+c.batch+"\n"), &out)
		if err == nil {
			t.Errorf("%s: no error", c.name)
			continue
		}
		if got := strings.Contains(out.String(), `["broken",`); got != c.fault {
			t.Errorf("%s: fault on the wire: %v, want %v: %s", c.name, got, c.fault, out.String())
		}
		for _, want := range c.want {
			if !strings.Contains(err.Error(), want) {
				t.Errorf("%s: error %q does not say %q", c.name, err, want)
			}
		}
	}
}

func TestPanicBecomesAFault(t *testing.T) {
	h := NewHost()
	if _, err := h.Batch([]byte(`{"ts":1,"input":[` + powerOn("sidecar-1") + `]}`)); err != nil {
		t.Fatal(err)
	}
	h.instances["sidecar-1"].balancer = nil // the next event panics
	reply, err := h.Batch([]byte(`{"ts":2,"input":[["wakeup","sidecar-1","due"]]}`))
	if err == nil || !strings.Contains(string(reply), `["broken","sidecar-1",`) || !strings.Contains(string(reply), "panic") {
		t.Errorf("got reply %s and error %v, want a fault with the panic's text", reply, err)
	}
}

func TestLongLines(t *testing.T) {
	var b strings.Builder
	for i := range 60000 {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(`["wakeup","sidecar-1","due of some length"]`)
	}
	got := repliesTo(t, `{"ts":1,"input":[`+powerOn("sidecar-1")+`]}`, `{"ts":2,"input":[`+b.String()+`]}`)
	if len(got) != 2 || got[1] != `{"steps":[]}` {
		t.Errorf("got %v", got)
	}
}

// Guards against a timer that comes a fraction of a microsecond early and finds nothing due.
func TestTimersAreNeverEarly(t *testing.T) {
	for d, want := range map[time.Duration]string{
		94*time.Millisecond + 999_999: "95", 1: "0.001", 0: "0", 1500 * time.Microsecond: "1.5",
	} {
		if got := string(appendMillis(nil, d)); got != want {
			t.Errorf("%v is written as %s, want %s", d, got, want)
		}
	}
}
