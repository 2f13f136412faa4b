package pipeline

import (
	"testing"
	"time"

	"heathgap/decide"
	"heathgap/internal/httpwire"
	"heathgap/internal/lab/scripted"
)

// Guards against report 4bbe03: a request is written to a process that is not the one it was decided for, because the list changed
// while the connection came up.
func TestProcessIsReplacedWhileConnecting(t *testing.T) {
	started := decide.Time(time.Now().UnixNano())
	for name, change := range map[string]func(address string) *httpwire.List{
		"it starts again": func(address string) *httpwire.List {
			list := listOf("s", address, decide.Active)
			list.Endpoints[0].Since = started
			return list
		},
		"it gets another address": func(string) *httpwire.List { return listOf("s", "127.0.0.1:1", decide.Active) },
		"another endpoint gets its address": func(address string) *httpwire.List {
			list := listOf("other", address, decide.Active)
			list.Endpoints[0].Since = started
			return list
		},
		"it is gone, and another endpoint has its address": func(address string) *httpwire.List {
			list := listOf("other", address, decide.Active)
			list.Endpoints[0].Since, list.Full = started, true
			return list
		},
	} {
		t.Run(name, func(t *testing.T) {
			e, environment, listener := newDialBarrierEngine(t)
			e.endpoints.SetGrace(time.Hour)
			id := e.updateEndpoints(listOf("s", listener.Address, decide.Active))[0].ID
			deadline := e.clock.Now() + 10*time.Second
			r := e.requests.Add(&httpwire.Request{Method: "GET", URI: "/look"}, deadline, make(chan httpwire.Answer, 1))
			e.send(r, decide.Action{Kind: decide.Send, Request: r.ID, Endpoint: id})
			<-environment.dialBegan
			e.updateEndpoints(change(listener.Address))
			close(environment.proceed)
			peer := listener.Accept()
			peer.Send(scripted.OK("x"))
			handleNext(t, e)
			if e.counters.Outcomes[decide.ConnectFailed] != 1 {
				t.Errorf("outcomes %v, want one that could not connect", e.counters.Outcomes)
			}
			e.pool.DropAll(r.Attempts[0].Endpoint, httpwire.ReasonUnlisted)
			if text, _ := peer.ReadToEnd(); text != "" {
				t.Errorf("written %q", text)
			}
		})
	}
}
