// Package scripted contains fakes for tests of single exchanges: an endpoint whose handler the test gives, a discovery
// whose answers the test sets, and addresses that never answer. They speak the published protocol on loopback and end
// with their test. Fakes that behave by a model are in package fake.
package scripted

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Endpoint is a fake endpoint. It answers 200 with its name unless it has a handler, and keeps the requests that it
// received.
type Endpoint struct {
	Name    string
	Address string

	mu      sync.Mutex
	seen    []*http.Request
	bodies  []string
	handler http.HandlerFunc
}

// StartEndpoint starts an endpoint on loopback. The handler may be nil.
func StartEndpoint(t testing.TB, name string, handler http.HandlerFunc) *Endpoint {
	t.Helper()
	e := &Endpoint{Name: name, handler: handler}
	e.Address = serve(t, &http.Server{Handler: e})
	return e
}

// serve runs a server on a free port of loopback until the test ends, and returns its address.
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

// ServeHTTP implements http.Handler.
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

// Count returns how many requests the endpoint has received.
func (e *Endpoint) Count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.seen)
}

// Request returns the n-th received request, from 0, and its body.
func (e *Endpoint) Request(n int) (*http.Request, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.seen[n], e.bodies[n]
}

// Line returns the endpoint's line in a list of discovery.
func (e *Endpoint) Line() map[string]any { return Line(e.Name, e.Address) }

// NeverAnswer returns a handler that never answers. It returns when the sidecar ends the connection, and then sends to
// ended if that is not nil.
func NeverAnswer(ended chan<- struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		if ended != nil {
			ended <- struct{}{}
		}
	}
}

// Raw returns a handler that writes a text as it is and closes the connection.
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

// Line returns a line of a list for an endpoint that is serving.
func Line(name, address string) map[string]any {
	return map[string]any{
		"name": name, "address": address, "zone": "z", "type": "k", "group": 1,
		"status": "SERVING", "weight": 1.0, "since_ms": 0,
	}
}

// FullList returns a full list with a version.
func FullList(index int, lines ...map[string]any) map[string]any {
	return map[string]any{"index": index, "snapshot": true, "endpoints": append([]map[string]any{}, lines...)}
}

// Changes returns an answer of discovery with changed lines only, as JSON.
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

// Discovery is a fake discovery that answers watches with what the test has set.
type Discovery struct {
	Address string

	mu        sync.Mutex
	index     int
	list      []byte
	down      bool
	rawAnswer string // if not empty, answered instead of the list
	queries   []string
	// changed is closed when the answer changes.
	changed chan struct{}
}

// StartDiscovery starts a discovery on loopback that has no list yet.
func StartDiscovery(t testing.TB) *Discovery {
	t.Helper()
	d := NewDiscovery()
	d.Address = serve(t, &http.Server{Handler: d})
	return d
}

// NewDiscovery returns a discovery that the test serves itself.
func NewDiscovery() *Discovery { return &Discovery{changed: make(chan struct{})} }

// update changes what discovery answers and wakes the watches that wait.
func (d *Discovery) update(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
	close(d.changed)
	d.changed = make(chan struct{})
}

// SetText makes discovery answer with a text, as the list of a version.
func (d *Discovery) SetText(index int, text []byte) {
	d.update(func() { d.index, d.list = index, text })
}

// Publish makes discovery answer with a full list.
func (d *Discovery) Publish(t testing.TB, index int, lines ...map[string]any) {
	t.Helper()
	d.SetText(index, encode(t, FullList(index, lines...)))
}

// SetDown makes discovery answer 503 from now on, or no longer.
func (d *Discovery) SetDown(down bool) { d.update(func() { d.down = down }) }

// SetBroken makes discovery answer every call with a text; an empty text ends that.
func (d *Discovery) SetBroken(text string) { d.update(func() { d.rawAnswer = text }) }

// ServeHTTP implements http.Handler.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	d.mu.Lock()
	d.queries = append(d.queries, r.URL.RawQuery)
	for !d.down && d.rawAnswer == "" && d.index <= after {
		changed := d.changed
		d.mu.Unlock()
		select {
		case <-changed:
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

// NumCalls returns how many calls have come.
func (d *Discovery) NumCalls() int { return len(d.Queries()) }

// Queries returns the query strings of all calls.
func (d *Discovery) Queries() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.queries...)
}

// hostsUsed counts the hosts that FreeAddress has given out.
var hostsUsed atomic.Uint32

// FreeAddress returns an address of loopback that nothing listens on, on a host of its own: on 127.0.0.1 the kernel may
// give the port to another connection or listener before the test listens there.
func FreeAddress(t testing.TB) string {
	t.Helper()
	const firstNet, nets, hostsOfNet = 100, 100, 250
	pid, n := os.Getpid(), hostsUsed.Add(1)
	return FreeAddressAt(t, fmt.Sprintf("127.%d.%d.%d", firstNet+pid%nets, pid/nets%hostsOfNet, 1+n%hostsOfNet))
}

// FreeAddressAt returns a free address on a host of loopback. Unless the host is 127.0.0.1, no outgoing connection
// takes the port as its local port before the test listens there.
//
// The socket that finds the port allows its reuse and never listens: between fork and exec a child of another test has a
// copy of each descriptor, and a copy of a listener would keep the port in use.
func FreeAddressAt(t testing.TB, host string) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(fd)
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		t.Fatal(err)
	}
	ip, err := netip.ParseAddr(host)
	if err != nil {
		t.Fatal(err)
	}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: ip.As4()}); err != nil {
		t.Fatal(err)
	}
	return boundAddress(t, fd)
}

// boundAddress returns the address that a socket is bound to.
func boundAddress(t testing.TB, fd int) string {
	t.Helper()
	name, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	bound := name.(*unix.SockaddrInet4)
	return netip.AddrPortFrom(netip.AddrFrom4(bound.Addr), uint16(bound.Port)).String()
}

// UnreachableAddress returns an address of loopback at which connections are never established: its accept queue holds
// one connection, and is full.
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
	address := boundAddress(t, fd)
	const maxConns = 10 // more than any queue of that size holds
	for range maxConns {
		conn, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { conn.Close() })
	}
	t.Fatal("the accept queue does not fill up")
	return ""
}
