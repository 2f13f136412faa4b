package lifecycle

import (
	"testing"

	"heathgap/internal/lab/scripted"
)

// unsoundHeads are heads of requests that two parsers read differently, or that HTTP does not allow, of a class that is safe to repeat.
// Each is given an id.
var unsoundHeads = map[string]func(id string) string{
	"a name with a space":         func(id string) string { return unsoundHead("GET /look HTTP/1.1\r\n", id, "X Pad: a\r\n") },
	"a first line without CR":     func(id string) string { return unsoundHead("GET /look HTTP/1.1\n", id, "") },
	"version 0.9":                 func(id string) string { return unsoundHead("GET /look HTTP/0.9\r\n", id, "") },
	"version 2.0":                 func(id string) string { return unsoundHead("GET /look HTTP/2.0\r\n", id, "") },
	"a fragment behind the class": func(id string) string { return unsoundHead("GET /look#x HTTP/1.1\r\n", id, "") },
	"a fragment behind the path":  func(id string) string { return unsoundHead("GET /look/x?y=1#z HTTP/1.1\r\n", id, "") },
	"a path that leads elsewhere": func(id string) string { return unsoundHead("GET /look/../pay HTTP/1.1\r\n", id, "") },
	"the same with escapes":       func(id string) string { return unsoundHead("GET /look/%2E%2e/pay HTTP/1.1\r\n", id, "") },
	"two ids with a comma":        func(id string) string { return unsoundHead("GET /look HTTP/1.1\r\n", id+","+id+"b", "") },
	"two ids in one line":         func(id string) string { return unsoundHead("GET /look HTTP/1.1\r\n", id+", "+id+"b", "") },
	"an id with a space":          func(id string) string { return unsoundHead("GET /look HTTP/1.1\r\n", id+" "+id, "") },
	"an id that is not ASCII":     func(id string) string { return unsoundHead("GET /look HTTP/1.1\r\n", id+"\xe9", "") },
	"two ids in two lines":        func(id string) string { return unsoundHead("GET /look HTTP/1.1\r\n", id, "X-Txn: "+id+"\r\n") },
}

// unsoundHead returns a head with a first line, an id and more fields.
func unsoundHead(firstLine, id, more string) string {
	return firstLine + "Host: x\r\nX-Txn: " + id + "\r\nX-Org: acme\r\nX-Remaining: 1.9\r\n" + more + "\r\n"
}

// Guards against heads that are not sound and are answered as served: they get 400 and a close, and nothing of them is sent.
func TestUnsoundHeadsAreNotServed(t *testing.T) {
	e := scripted.StartEndpoint(t, "e1", nil)
	s := start(t, scripted.SidecarConfig(scripted.StartDiscovery(t), e.Line()))
	for name, text := range unsoundHeads {
		t.Run(name, func(t *testing.T) {
			caller := scripted.Connect(t, s.Address())
			caller.Send(text(newID()) + textUnder("look", newID()))
			if status, _ := caller.ReadAnswer(); status != 400 {
				t.Fatalf("status %d, want 400", status)
			}
			if more, err := caller.ReadToEnd(); more != "" || err != nil {
				t.Errorf("behind the answer: %q, %v; want the end", more, err)
			}
		})
	}
	if n := e.Count(); n != 0 {
		t.Errorf("%d requests came to the endpoint, want none", n)
	}
}
