package lifecycle

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"heathgap/internal/config"
	"heathgap/internal/operator"
)

// patience bounds every wait of the tests: far more than any should take.
const patience = 20 * time.Second

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never came: %s", what)
		}
	}
}

// fakeEndpoint is an endpoint on loopback. It answers 200 with its name unless
// its behave says otherwise, and keeps what it was asked.
type fakeEndpoint struct {
	name    string
	address string
	server  *http.Server

	mu     sync.Mutex
	seen   []*http.Request
	bodies []string
	behave http.HandlerFunc
}

func startEndpoint(t *testing.T, name string, behave http.HandlerFunc) *fakeEndpoint {
	t.Helper()
	e := &fakeEndpoint{name: name, behave: behave}
	e.server = &http.Server{Handler: e}
	e.address = serve(t, e.server)
	return e
}

// serve runs a server on a port of loopback until the test ends.
func serve(t *testing.T, server *http.Server) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	return listener.Addr().String()
}

func (e *fakeEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	e.mu.Lock()
	e.seen = append(e.seen, r)
	e.bodies = append(e.bodies, string(body))
	behave := e.behave
	e.mu.Unlock()
	if behave != nil {
		behave(w, r)
		return
	}
	fmt.Fprint(w, e.name)
}

// mustJSON is a list of changes as discovery writes it.
func mustJSON(t *testing.T, index int, lines ...map[string]any) []byte {
	t.Helper()
	text, err := json.Marshal(map[string]any{"index": index, "snapshot": false, "endpoints": lines})
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func (e *fakeEndpoint) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.seen)
}

// silent never answers; it returns when the sidecar ends the connection.
func silentEndpoint(ended chan<- struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		if ended != nil {
			ended <- struct{}{}
		}
	}
}

// raw answers with these bytes and ends the connection.
func rawAnswer(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		io.WriteString(conn, text)
		conn.Close()
	}
}

// line is the endpoint as discovery lists it.
func (e *fakeEndpoint) line() map[string]any { return listLine(e.name, e.address) }

func listLine(name, address string) map[string]any {
	return map[string]any{
		"name": name, "address": address, "zone": "z", "type": "k", "group": 1,
		"status": "SERVING", "weight": 1.0, "since_ms": 0,
	}
}

func wholeList(index int, lines ...map[string]any) map[string]any {
	return map[string]any{"index": index, "snapshot": true, "endpoints": append([]map[string]any{}, lines...)}
}

// fakeDiscovery answers watches. A non-empty broken is answered in place of a list.
type fakeDiscovery struct {
	address string

	mu     sync.Mutex
	index  int
	list   []byte
	down   bool
	broken string
	calls  int
	waits  []string // the query of each watch
	news   chan struct{}
}

func startDiscovery(t *testing.T) *fakeDiscovery {
	t.Helper()
	d := &fakeDiscovery{news: make(chan struct{})}
	d.address = serve(t, &http.Server{Handler: d})
	return d
}

// set changes what discovery says, under its lock, and ends the watches that wait.
func (d *fakeDiscovery) set(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
	close(d.news)
	d.news = make(chan struct{})
}

func (d *fakeDiscovery) publish(t *testing.T, index int, lines ...map[string]any) {
	t.Helper()
	text, err := json.Marshal(wholeList(index, lines...))
	if err != nil {
		t.Fatal(err)
	}
	d.set(func() { d.index, d.list = index, text })
}

func (d *fakeDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	d.mu.Lock()
	d.calls++
	d.waits = append(d.waits, r.URL.RawQuery)
	for !d.down && d.broken == "" && d.index <= after {
		news := d.news
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
	case d.broken != "":
		io.WriteString(w, d.broken)
	default:
		w.Write(d.list)
	}
}

func (d *fakeDiscovery) called() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

// asked returns the queries of all calls.
func (d *fakeDiscovery) asked() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.waits...)
}

// testSettings are those of a small deployment of the tests' own.
func testSettings() map[string]any {
	class := func(name, effect string, worth float64) map[string]any {
		return map[string]any{
			"name": name, "effect": effect, "group": "all", "aim": 500.0, "deadline": 2000.0,
			"window": 2000.0, "worth": worth, "late_share": 0.5, "stream": false,
		}
	}
	return map[string]any{
		"me": 0, "replicas_of_me": 1, "az": "z", "tier": 0, "stages": []string{"one", "two"}, "tick": 2.0,
		"membership_mode": "subscribe", "weights": "silent", "worth_by": "request", "over_share_worth": 0.1,
		"bounds": map[string]any{
			"cancel": true, "second_copies": true, "retry_after": true, "probing": false, "max_attempts": 4,
			"max_retry_after": 2000.0, "connect_timeout": 500.0, "conn_idle": 10000.0, "most_held": 1000,
		},
		"rules": map[string]any{
			"answer_slack": 20.0, "ask_every": 10000.0, "cold": 8000.0, "cold_from": 0.3,
			"drain_grace": 1000.0, "fall_multiple": 3.0, "overload_for": 3000.0,
		},
		"profiles": []any{class("look", "repeatable", 1), class("pay", "by_key", 3), class("burn", "once", 3)},
	}
}

// testConfig is the configuration file as an object, for changes.
func testConfig(d *fakeDiscovery, known ...map[string]any) map[string]any {
	return map[string]any{
		"name": "t0", "listen": "127.0.0.1:0", "discovery": d.address, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  wholeList(1, known...), "settings": testSettings(),
	}
}

// setDeadlines gives all classes one deadline, in milliseconds.
func setDeadlines(conf map[string]any, ms float64) {
	for _, class := range conf["settings"].(map[string]any)["profiles"].([]any) {
		class.(map[string]any)["deadline"] = ms
	}
}

func writeConfig(t *testing.T, conf map[string]any) string {
	t.Helper()
	text, err := json.Marshal(conf)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// lines collects log lines.
type lines struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// tested is a sidecar in this process.
type tested struct {
	*Sidecar
	log     *lines
	stopped bool
}

func start(t *testing.T, conf map[string]any) *tested {
	t.Helper()
	return startWith(t, conf, Options{Operator: operator.Default()})
}

func startWith(t *testing.T, conf map[string]any, opts Options) *tested {
	t.Helper()
	path := writeConfig(t, conf)
	c, err := config.Load(func(key string) string {
		if key == config.EnvFile {
			return path
		}
		return ""
	})
	if err != nil {
		t.Fatal(err)
	}
	s := &tested{log: &lines{}}
	if s.Sidecar, err = Start(c, zerolog.New(s.log), opts); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if !s.stopped {
			s.stayFor = 0
			s.Stop()
		}
	})
	return s
}

// lastID numbers requests: no two that are open may share an id.
var lastID atomic.Int64

func newID() string { return "t" + strconv.FormatInt(lastID.Add(1), 10) }

// request builds a request that the protocol allows.
func request(t *testing.T, address, method, path, body string) *http.Request {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if method == http.MethodGet {
		r.Body = http.NoBody
		r.ContentLength = 0
	}
	r.Header.Set("X-Txn", newID())
	r.Header.Set("X-Org", "acme")
	r.Header.Set("X-Remaining", "1.5")
	return r
}

// do sends a request on a connection of its own and returns status and body.
func do(t *testing.T, r *http.Request) (int, string) {
	t.Helper()
	status, body, err := try(r)
	if err != nil {
		t.Fatal(err)
	}
	return status, body
}

func try(r *http.Request) (int, string, error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience}
	answer, err := client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return answer.StatusCode, string(body), err
}

func get(t *testing.T, address, path string) (int, string) {
	t.Helper()
	return do(t, request(t, address, http.MethodGet, path, ""))
}

// freeAddress is an address of loopback that nothing listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// deafAddress is an address of loopback at which connections never come up: its
// queue holds one, and that is taken.
func deafAddress(t *testing.T) string {
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
	for range 10 {
		conn, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { conn.Close() })
	}
	t.Fatal("the queue of connections does not fill")
	return ""
}
