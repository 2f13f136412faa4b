// Package scripted holds stand-ins for tests of single exchanges: an endpoint that
// does to each request what a handler says, a discovery that says what it is given,
// and addresses at which nothing answers. They speak the published protocol on
// loopback and end with their test. What behaves by a model is in package standin.
package scripted

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Endpoint answers 200 with its name unless its handler does something else, and
// keeps what it was asked.
type Endpoint struct {
	Name    string
	Address string

	mu      sync.Mutex
	seen    []*http.Request
	bodies  []string
	handler http.HandlerFunc
}

// StartEndpoint starts one; behave may be nil.
func StartEndpoint(t testing.TB, name string, handler http.HandlerFunc) *Endpoint {
	t.Helper()
	e := &Endpoint{Name: name, handler: handler}
	e.Address = serve(t, &http.Server{Handler: e})
	return e
}

// serve runs a server on a port of loopback until the test ends.
func serve(t testing.TB, server *http.Server) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve(listener) //nolint:errcheck // it ends with Close
	t.Cleanup(func() { server.Close() })
	return listener.Addr().String()
}

// ServeHTTP is http.Handler's.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	e.mu.Lock()
	e.seen = append(e.seen, r)
	e.bodies = append(e.bodies, string(body))
	e.mu.Unlock()
	if e.handler != nil {
		e.handler(w, r)
		return
	}
	fmt.Fprint(w, e.Name)
}

// Count is how many requests have come.
func (e *Endpoint) Count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.seen)
}

// Request returns a request that has come, and its body.
func (e *Endpoint) Request(n int) (*http.Request, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.seen[n], e.bodies[n]
}

// Line is the endpoint as discovery lists it.
func (e *Endpoint) Line() map[string]any { return Line(e.Name, e.Address) }

// NeverAnswer never answers; it returns when the sidecar ends the connection, and tells so
// to a channel that is not nil.
func NeverAnswer(ended chan<- struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		if ended != nil {
			ended <- struct{}{}
		}
	}
}

// Raw answers with these bytes and ends the connection.
func Raw(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		io.WriteString(conn, text) //nolint:errcheck // the peer may have gone
		conn.Close()
	}
}

// Line is a line of a list, of an endpoint that serves.
func Line(name, address string) map[string]any {
	return map[string]any{
		"name": name, "address": address, "zone": "z", "type": "k", "group": 1,
		"status": "SERVING", "weight": 1.0, "since_ms": 0,
	}
}

// WholeList is a whole list of some version.
func WholeList(index int, lines ...map[string]any) map[string]any {
	return map[string]any{"index": index, "snapshot": true, "endpoints": append([]map[string]any{}, lines...)}
}

// Changes are changed lines as discovery writes them.
func Changes(t testing.TB, index int, lines ...map[string]any) []byte {
	t.Helper()
	return encode(t, map[string]any{"index": index, "snapshot": false, "endpoints": lines})
}

func encode(t testing.TB, v any) []byte {
	t.Helper()
	text, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Discovery answers watches with what it was given.
type Discovery struct {
	Address string

	mu        sync.Mutex
	index     int
	list      []byte
	down      bool
	rawAnswer string // answered in place of a list
	queries   []string
	changed   chan struct{}
}

// StartDiscovery starts one that has nothing to tell yet.
func StartDiscovery(t testing.TB) *Discovery {
	t.Helper()
	d := NewDiscovery()
	d.Address = serve(t, &http.Server{Handler: d})
	return d
}

// NewDiscovery is one that the test serves itself.
func NewDiscovery() *Discovery { return &Discovery{changed: make(chan struct{})} }

// update changes what it says, and ends the watches that wait.
func (d *Discovery) update(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
	close(d.changed)
	d.changed = make(chan struct{})
}

// SetText has it answer with a text, as of a version.
func (d *Discovery) SetText(index int, text []byte) {
	d.update(func() { d.index, d.list = index, text })
}

// Publish has it answer with a whole list.
func (d *Discovery) Publish(t testing.TB, index int, lines ...map[string]any) {
	t.Helper()
	d.SetText(index, encode(t, WholeList(index, lines...)))
}

// SetDown has it answer 503 from now on, or not.
func (d *Discovery) SetDown(down bool) { d.update(func() { d.down = down }) }

// SetBroken has it answer with a text whatever it is asked; none for no such text.
func (d *Discovery) SetBroken(text string) { d.update(func() { d.rawAnswer = text }) }

// ServeHTTP is http.Handler's.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	d.mu.Lock()
	d.queries = append(d.queries, r.URL.RawQuery)
	for !d.down && d.rawAnswer == "" && d.index <= after {
		news := d.changed
		d.mu.Unlock()
		select {
		case <-news:
		case <-r.Context().Done():
			return
		}
		d.mu.Lock()
	}
	defer d.mu.Unlock()
	switch {
	case d.down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case d.rawAnswer != "":
		io.WriteString(w, d.rawAnswer) //nolint:errcheck // the peer may have gone
	default:
		w.Write(d.list) //nolint:errcheck // the peer may have gone
	}
}

// NumCalls is how many calls have come.
func (d *Discovery) NumCalls() int { return len(d.Queries()) }

// Queries returns the queries of all calls.
func (d *Discovery) Queries() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.queries...)
}

// hostsUsed counts the hosts that FreeAddress has dealt out.
var hostsUsed atomic.Uint32

// FreeAddress is an address of loopback that nothing listens on, on a host of its own: on 127.0.0.1 the kernel may give the
// port to a connection, or to another listener, before somebody listens there.
func FreeAddress(t testing.TB) string {
	t.Helper()
	const firstNet, nets, hostsOfNet = 100, 100, 250
	pid, n := os.Getpid(), hostsUsed.Add(1)
	return FreeAddressAt(t, fmt.Sprintf("127.%d.%d.%d", firstNet+pid%nets, pid/nets%hostsOfNet, 1+n%hostsOfNet))
}

// FreeAddressAt is one of a host of loopback. Where it is not 127.0.0.1 no connection that is made takes it, as the port of
// its own side, before somebody listens there.
func FreeAddressAt(t testing.TB, host string) string {
	t.Helper()
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// UnreachableAddress is an address of loopback at which connections never come up: its
// queue holds one, and that is taken.
func UnreachableAddress(t testing.TB) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprintf("127.0.0.1:%d", name.(*unix.SockaddrInet4).Port)
	const maxConns = 10 // more than any queue that holds one
	for range maxConns {
		conn, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { conn.Close() })
	}
	t.Fatal("the queue of connections does not fill")
	return ""
}
