package lifecycle

import (
	"testing"
	"time"

	"heathgap/internal/lab/scripted"
)

// restartedLine returns the line of an endpoint that has started again.
func restartedLine(name, address string, started time.Time) map[string]any {
	line := scripted.Line(name, address)
	line["since_ms"] = started.UnixMilli()
	return line
}

// Guards against report 4bbe03: work goes to a process that is no longer the listed one, since a connection made before the list
// changed is used again for the endpoint's new entry.
func TestConnectionToAReplacedProcessIsNotUsedAgain(t *testing.T) {
	for name, change := range map[string]func(old, moved string) []map[string]any{
		"it has started again": func(old, _ string) []map[string]any {
			return []map[string]any{restartedLine("e1", old, time.Now())}
		},
		"it has another address": func(_, moved string) []map[string]any {
			return []map[string]any{scripted.Line("e1", moved)}
		},
		"its address is another endpoint's": func(old, _ string) []map[string]any {
			return []map[string]any{restartedLine("e2", old, time.Now())}
		},
	} {
		t.Run(name, func(t *testing.T) {
			old, moved := scripted.Listen(t), scripted.Listen(t)
			d := scripted.StartDiscovery(t)
			d.Publish(t, 1, scripted.Line("e1", old.Address))
			conf := scripted.SidecarConfig(d, scripted.Line("e1", old.Address))
			s := start(t, conf)
			first := scripted.Connect(t, s.Address())
			first.Send(requestText("/look", ""))
			attempt := old.Accept()
			attempt.ReadRequest()
			d.Publish(t, 2, change(old.Address, moved.Address)...)
			eventually(t, "the list is applied", func() bool { return s.Counters().ListVersion == 2 })
			attempt.Send(scripted.OK("first"))
			if status, body := first.ReadAnswer(); status != 200 || body != "first" {
				t.Fatalf("the first: %d %q", status, body)
			}
			time.Sleep(pastReuseDelay)
			second := scripted.Connect(t, s.Address())
			second.Send(requestText("/look", ""))
			to := old
			if name == "it has another address" {
				to = moved
			}
			again := to.Accept() // a new connection
			again.ReadRequest()
			again.Send(scripted.OK("second"))
			if status, body := second.ReadAnswer(); status != 200 || body != "second" {
				t.Errorf("the second: %d %q", status, body)
			}
			if text, err := attempt.ReadToEnd(); text != "" || err != nil {
				t.Errorf("on the connection made before: %q, %v; want its end", text, err)
			}
		})
	}
}

// Guards against a request that may have run and is sent to the process of another endpoint, because an entry of the list still
// names the address at which that process has come up.
func TestEntryWhoseAddressIsTakenGetsNothing(t *testing.T) {
	address := scripted.Listen(t)
	other := scripted.StartEndpoint(t, "other", nil)
	d := scripted.StartDiscovery(t)
	d.Publish(t, 1, scripted.Line("e1", address.Address))
	s := start(t, scripted.SidecarConfig(d, scripted.Line("e1", address.Address)))
	newcomer, elsewhere := restartedLine("e2", address.Address, time.Now()), other.Line()
	newcomer["group"], newcomer["status"] = 2, "DRAINING" // nothing may go to the newcomer itself
	d.SetText(2, scripted.Changes(t, 2, newcomer, elsewhere))
	eventually(t, "the list is applied", func() bool { return s.Counters().ListVersion == 2 })
	time.Sleep(time.Duration(s.conf.Settings.Rules.DrainGrace)) // within it a draining endpoint may still get requests
	for range 20 {
		if status, body := get(t, s.Address(), "/look"); status != 200 || body != "other" {
			t.Errorf("%d %q, want the answer of the other endpoint", status, body)
		}
	}
	if address.HasPending() {
		t.Error("a request went to the address that another endpoint has taken")
	}
}
