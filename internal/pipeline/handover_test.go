package pipeline

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"heathgap/decide"
	"heathgap/internal/httpwire"
	"heathgap/internal/lab/scripted"
)

// newSuccessor returns an engine that has started with a predecessor's state, the listener of its discovery, and its log.
func newSuccessor(t *testing.T, handover Handover) (*Engine, *scripted.Listener, *strings.Builder) {
	t.Helper()
	discovery := scripted.Listen(t)
	e := newTestEngine(t)
	var log strings.Builder
	e.log = zerolog.New(&log)
	e.conf.Classes = map[string]decide.Class{"look": {}}
	e.conf.KnownList = listOf("own", "127.0.0.1:1", decide.Active)
	e.conf.KnownList.Endpoints = append(e.conf.KnownList.Endpoints, listOf("both", "127.0.0.1:2", decide.Active).Endpoints...)
	e.conf.KnownList.Index = 5
	e.watch = newWatch(discovery.Address, shortTimes)
	if handover.From == "here" {
		handover.From = discovery.Address
	}
	text, err := json.Marshal(handover)
	if err != nil {
		t.Fatal(err)
	}
	if err := e.ImportHandover(text); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		e.watch.cancel()
		close(e.stopped)
	})
	e.startList()
	return e, discovery, &log
}

// Guards against state that one installation leaves to another: versions of another discovery, endpoints that do not exist, and bans
// of names that mean something else. Drains of endpoints that both know must be kept.
func TestSuccessorImportsHandover(t *testing.T) {
	list := httpwire.List{Index: 40, Endpoints: []httpwire.ListedEndpoint{
		{Name: "both", Address: "127.0.0.1:2", State: decide.Draining}, {Name: "theirs", Address: "127.0.0.1:3"},
	}}
	for name, c := range map[string]struct {
		left      Handover
		query     string
		endpoints []string
		draining  bool
		banned    int
	}{
		"the same discovery": {
			Handover{List: list, From: "here", Classes: []string{"look"}, Seen: []uint64{1}, Banned: []string{"theirs"}},
			"after=40&wait_ms=100", []string{"both", "theirs"}, true, 1},
		"another discovery": {
			Handover{List: list, From: "127.0.0.1:9", Classes: []string{"look"}, Banned: []string{"both"}},
			"", []string{"both", "own"}, true, 1},
		"other classes": {
			Handover{List: list, From: "127.0.0.1:9", Classes: []string{"pay", "burn"}, Banned: []string{"both"}},
			"after=5&wait_ms=100", []string{"both", "own"}, false, 0},
		"an older build": {
			Handover{List: list}, "", []string{"both", "theirs"}, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			e, discovery, log := newSuccessor(t, c.left)
			if requested := discovery.Accept().ReadRequest().URL.RawQuery; requested != c.query {
				t.Errorf("query %q, want %q", requested, c.query)
			}
			var names []string
			draining := false
			for _, line := range e.endpoints.List() {
				names = append(names, line.Name)
				draining = draining || line.State == decide.Draining
			}
			if !slices.Equal(names, c.endpoints) || draining != c.draining {
				t.Errorf("starts with endpoints %q, draining %v; want %q, %v", names, draining, c.endpoints, c.draining)
			}
			if got := len(e.endpoints.Banned()); got != c.banned {
				t.Errorf("%d bans, want %d", got, c.banned)
			}
			if logged := strings.Contains(log.String(), "other classes"); logged != (name == "other classes") {
				t.Errorf("log: %s", log)
			}
		})
	}
}
