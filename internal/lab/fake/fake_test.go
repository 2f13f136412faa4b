package fake

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"heathgap/decide"
	"heathgap/internal/lab/oracle"
	"heathgap/internal/lab/servermodel"
)

const (
	ms          = time.Millisecond
	testTimeout = 20 * time.Second
)

func newChecker() *oracle.Shared {
	return oracle.NewShared(oracle.New(oracle.Conf{Margin: time.Minute}), oracle.NewService(nil, 0))
}

func newEndpoint(t *testing.T, checker *oracle.Shared, change func(*EndpointConf)) *Endpoint {
	t.Helper()
	conf := EndpointConf{
		Name: "e", Address: "127.0.0.1:0", ServerModel: servermodel.Conf{Cores: 2, Speed: 1, Slots: 4, Queue: 4},
		BodyBytes: 100, Classes: map[string]ClassConf{
			"look": {Effect: decide.Safe, Work: ms},
			"pay":  {Effect: decide.Keyed, Work: ms, Keys: NewKeyMemory(time.Minute)},
			"burn": {Effect: decide.Unsafe, Work: ms},
		},
	}
	if change != nil {
		change(&conf)
	}
	e, err := StartEndpoint(conf, checker)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Kill)
	return e
}

// client is a connection to an endpoint.
type client struct {
	net.Conn
	in *bufio.Reader
}

func dial(t *testing.T, e *Endpoint) *client {
	t.Helper()
	conn, err := net.Dial("tcp", e.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	return &client{conn, bufio.NewReader(conn)}
}

// send reports a request to the checker and sends it.
func (c *client) send(checker *oracle.Shared, class, id, key string, effect decide.Effect) {
	checker.Do(func(b *oracle.Checker) {
		b.RequestBegun(oracle.Request{ID: id, Sidecar: "s", Effect: effect, Key: key, Deadline: time.Hour})
		b.RequestWritten(id)
	})
	method := "GET"
	if effect != decide.Safe {
		method = "POST"
	}
	fmt.Fprintf(c, "%s /%s/x HTTP/1.1\r\nHost: x\r\nX-Txn: %s\r\nIdempotency-Key: %s\r\nX-Remaining: 5\r\nContent-Length: 0\r\n\r\n",
		method, class, id, key)
}

// readAnswer reads an answer. An error means that the connection ended before a complete answer.
func (c *client) readAnswer() (status int, body string, err error) {
	r, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, "", err
	}
	text, err := io.ReadAll(r.Body)
	if err == nil && r.Header.Get("X-Turned-Away") == "1" {
		return r.StatusCode, "turned away", nil
	}
	return r.StatusCode, string(text), err
}

// countArrivals returns how many attempts the checker recorded for the sidecar "s", and how many of them ran or were
// rejected.
func countArrivals(checker *oracle.Shared) (arrivals, runs, rejected int) {
	checker.Do(func(b *oracle.Checker) {
		if t := b.Close().Sidecars["s"]; t != nil {
			arrivals, runs, rejected = t.Arrivals, t.Runs, t.Rejected
		}
	})
	return arrivals, runs, rejected
}

func TestServes(t *testing.T) {
	checker := newChecker()
	e := newEndpoint(t, checker, nil)
	c := dial(t, e)
	for i := range 5 {
		c.send(checker, "look", fmt.Sprint(i), "", decide.Safe)
		status, body, err := c.readAnswer()
		if err != nil || status != 200 || !strings.HasPrefix(body, fmt.Sprintf("%d e\n", i)) || len(body) != 100 {
			t.Fatalf("%d, %q, %v", status, body, err)
		}
	}
	if arrivals, runs, rejected := countArrivals(checker); arrivals != 5 || runs != 5 || rejected != 0 {
		t.Errorf("recorded %d arrivals, %d runs, %d rejected", arrivals, runs, rejected)
	}
}

// Each trouble has the right effect on the connection, and the checker records whether the request ran.
func TestTroubles(t *testing.T) {
	for trouble, c := range map[Trouble]struct {
		status int // 0 if the connection ends without a complete answer
		body   string
		runs   int
	}{
		Errors:          {500, "", 1},
		Refuses:         {503, "turned away", 0},
		TruncatedAnswer: {0, "", 1},
		Garbage:         {0, "", 1},
		ExtraBytes:      {200, "1 e\n", 1},
	} {
		t.Run(string(trouble), func(t *testing.T) {
			checker := newChecker()
			e := newEndpoint(t, checker, nil)
			e.SetTrouble(trouble, 1)
			conn := dial(t, e)
			conn.send(checker, "look", "1", "", decide.Safe)
			status, body, err := conn.readAnswer()
			if c.status == 0 && err == nil || c.status != 0 && (status != c.status || !strings.HasPrefix(body, c.body)) {
				t.Errorf("%d, %q, %v", status, body, err)
			}
			if _, runs, _ := countArrivals(checker); runs != c.runs {
				t.Errorf("%d runs are recorded, want %d", runs, c.runs)
			}
			if trouble == ExtraBytes {
				if _, _, err := conn.readAnswer(); err != nil {
					t.Errorf("no bytes after the answer: %v", err)
				}
			}
		})
	}
}

// A partitioned machine neither reads nor writes. When the partition ends, its connections are reset.
func TestSilent(t *testing.T) {
	checker := newChecker()
	e := newEndpoint(t, checker, nil)
	c := dial(t, e)
	c.send(checker, "look", "1", "", decide.Safe)
	if status, _, err := c.readAnswer(); status != 200 {
		t.Fatal(status, err)
	}
	e.SetTrouble(Silent, 1)
	c.send(checker, "look", "2", "", decide.Safe)
	c.SetReadDeadline(time.Now().Add(50 * ms))
	if _, err := c.in.Peek(1); err == nil {
		t.Error("a silent machine answered")
	}
	c.SetReadDeadline(time.Now().Add(testTimeout))
	e.SetTrouble(NoTrouble, 0)
	if _, _, err := c.readAnswer(); err == nil {
		t.Error("a connection from before the partition still answers")
	}
	second := dial(t, e)
	second.send(checker, "look", "3", "", decide.Safe)
	if status, _, err := second.readAnswer(); status != 200 {
		t.Errorf("after the partition: %d, %v", status, err)
	}
	if arrivals, _, _ := countArrivals(checker); arrivals != 2 {
		t.Errorf("%d arrivals are recorded, want 2: what is sent during the partition never arrives", arrivals)
	}
}

// An endpoint that hangs answers no request. When it is killed, its connections are reset; another can start at its
// address.
func TestHangAndKill(t *testing.T) {
	checker := newChecker()
	e := newEndpoint(t, checker, nil)
	e.SetTrouble(Hang, 1)
	c := dial(t, e)
	c.send(checker, "burn", "1", "", decide.Unsafe)
	eventually(t, "it runs", func() bool { _, runs, _ := countArrivals(checker); return runs == 1 })
	e.Kill()
	if _, _, err := c.readAnswer(); err == nil {
		t.Error("a killed endpoint answered")
	}
	if conn, err := net.Dial("tcp", e.Address()); err == nil {
		conn.Close()
		t.Error("a killed endpoint accepts connections")
	}
	second := newEndpoint(t, checker, func(c *EndpointConf) { c.Address = e.Address() })
	c = dial(t, second)
	c.send(checker, "look", "2", "", decide.Safe)
	if status, _, err := c.readAnswer(); status != 200 {
		t.Errorf("at the same address: %d, %v", status, err)
	}
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(ms) {
		if time.Now().After(end) {
			t.Fatalf("never came: %s", what)
		}
	}
}

// Connections above the limit are rejected, and so are requests without a slot or a place in the queue.
func TestCapacityLimits(t *testing.T) {
	checker := newChecker()
	e := newEndpoint(t, checker, func(c *EndpointConf) {
		c.Connections, c.ServerModel = 2, servermodel.Conf{Cores: 1, Speed: 0.001, Slots: 1, Queue: 0}
	})
	first := dial(t, e)
	first.send(checker, "burn", "1", "", decide.Unsafe)
	eventually(t, "the first runs", func() bool { _, runs, _ := countArrivals(checker); return runs == 1 })
	second, third := dial(t, e), dial(t, e)
	second.send(checker, "look", "2", "", decide.Safe)
	if status, body, err := second.readAnswer(); status != 503 || body != "turned away" {
		t.Errorf("above its slots: %d, %q, %v", status, body, err)
	}
	third.send(checker, "look", "3", "", decide.Safe)
	if status, body, err := third.readAnswer(); status != 503 || body != "turned away" {
		t.Errorf("above its connections: %d, %q, %v", status, body, err)
	}
	if _, _, err := third.readAnswer(); err == nil {
		t.Error("a connection above the limit stays open")
	}
	if arrivals, runs, rejected := countArrivals(checker); arrivals != 3 || runs != 1 || rejected != 2 {
		t.Errorf("recorded %d arrivals, %d runs, %d rejected", arrivals, runs, rejected)
	}
}

// Within the window a key has one effect in the whole group of endpoints. A repeat is answered once the first run has
// ended.
func TestKeysAcrossAGroup(t *testing.T) {
	checker := newChecker()
	keys := NewKeyMemory(time.Minute)
	shareKeys := func(c *EndpointConf) { c.Classes["pay"] = ClassConf{Effect: decide.Keyed, Work: ms, Keys: keys} }
	a, b := newEndpoint(t, checker, shareKeys), newEndpoint(t, checker, shareKeys)
	first, second := dial(t, a), dial(t, b)
	first.send(checker, "pay", "1", "k", decide.Keyed)
	if status, body, err := first.readAnswer(); status != 200 || strings.Contains(body, "repeat") {
		t.Fatalf("%d, %q, %v", status, body, err)
	}
	second.send(checker, "pay", "2", "k", decide.Keyed)
	if status, body, err := second.readAnswer(); status != 200 || !strings.HasPrefix(body, "2 e repeat\n") {
		t.Errorf("%d, %q, %v", status, body, err)
	}
	checker.Do(func(b *oracle.Checker) {
		if a := b.Close(); a.NumViolations() > 0 || a.Repeats > 0 {
			t.Errorf("%v", a.Violations)
		}
	})
}

// A failed run counts as the key's effect: a repeat at another endpoint of the group has none.
func TestFailedRunCountsAsEffect(t *testing.T) {
	checker := newChecker()
	keys := NewKeyMemory(time.Minute)
	shareKeys := func(c *EndpointConf) { c.Classes["pay"] = ClassConf{Effect: decide.Keyed, Work: ms, Keys: keys} }
	a, b := newEndpoint(t, checker, shareKeys), newEndpoint(t, checker, shareKeys)
	a.SetTrouble(Errors, 1)
	first, second := dial(t, a), dial(t, b)
	first.send(checker, "pay", "1", "k", decide.Keyed)
	if status, _, err := first.readAnswer(); status != 500 {
		t.Fatal(status, err)
	}
	fmt.Fprintf(second, "POST /pay/x HTTP/1.1\r\nHost: x\r\nX-Txn: 1\r\nIdempotency-Key: k\r\nContent-Length: 0\r\n\r\n")
	if status, body, err := second.readAnswer(); status != 200 || !strings.Contains(body, "repeat") {
		t.Errorf("%d, %q, %v", status, body, err)
	}
	checker.Do(func(b *oracle.Checker) {
		if a := b.Close(); a.NumViolations() > 0 {
			t.Errorf("%v", a.Violations)
		}
	})
}

// A repeat exactly at the end of the window has no effect; one after it does.
func TestKeyWindowEdge(t *testing.T) {
	k := NewKeyMemory(time.Second)
	if first, own := k.Observe(0, "k"); first != nil || own == nil {
		t.Fatal("a new key counts as a repeat")
	}
	if first, _ := k.Observe(time.Second, "k"); first == nil {
		t.Error("at the end of the window: not a repeat")
	}
	if first, own := k.Observe(time.Second+1, "k"); first != nil || own == nil {
		t.Error("after the window: still a repeat")
	}
	if len(k.seen) != 1 || len(k.order) != 1 {
		t.Errorf("%d keys are kept, want the newest only", len(k.seen))
	}
	_, own := k.Observe(3*time.Second, "other")
	k.Forget(own)
	if first, _ := k.Observe(3*time.Second, "other"); first != nil {
		t.Error("a run that was forgotten still counts")
	}
}

// An endpoint that calls the next tier fails a request as soon as one of its calls fails.
func TestCallsTheNextTier(t *testing.T) {
	checker := newChecker()
	calls, fails := 0, false
	e := newEndpoint(t, checker, func(c *EndpointConf) {
		c.Calls, c.Call = 3, func(_ context.Context, until time.Duration, key string) bool {
			calls++
			return !fails && until > 0
		}
	})
	c := dial(t, e)
	c.send(checker, "look", "1", "", decide.Safe)
	if status, _, err := c.readAnswer(); status != 200 || calls != 3 {
		t.Errorf("%d after %d calls, %v", status, calls, err)
	}
	fails = true
	c.send(checker, "look", "2", "", decide.Safe)
	if status, _, err := c.readAnswer(); status != 500 || calls != 4 {
		t.Errorf("%d after %d calls, %v; want 500 after the first", status, calls, err)
	}
}

func fetch(t *testing.T, address, query string) (int, List) {
	t.Helper()
	client := http.Client{Timeout: testTimeout}
	answer, err := client.Get("http://" + address + "/discovery/hosts" + query)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	var list List
	if answer.StatusCode == 200 {
		if err := json.NewDecoder(answer.Body).Decode(&list); err != nil {
			t.Fatal(err)
		}
	}
	return answer.StatusCode, list
}

// Discovery answers with the full list, answers watches when there are changes, fails while it is down, and reports to
// the checker what was delivered to whom.
func TestDiscovery(t *testing.T) {
	checker := newChecker()
	d := NewDiscovery(checker)
	t.Cleanup(d.Close)
	a := Line{Name: "a", Address: "127.0.0.1:1", Status: Serving, Weight: 1}
	b := Line{Name: "b", Address: "127.0.0.1:2", Status: Serving, Weight: 1}
	d.SetLines(a, b)
	address, err := d.OpenFor("s", "127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	if status, list := fetch(t, address, ""); status != 200 || !list.Full || len(list.Endpoints) != 2 || list.Index != 1 {
		t.Fatalf("%d, %+v", status, list)
	}
	got := make(chan List, 1)
	go func() {
		_, list := fetch(t, address, "?after=1&wait_ms=20000")
		got <- list
	}()
	a.Status = Draining
	d.SetLines(a)
	if list := <-got; list.Full || len(list.Endpoints) != 1 || list.Endpoints[0].Status != Draining {
		t.Errorf("the change: %+v", list)
	}
	if status, list := fetch(t, address, "?after=2&wait_ms=1"); status != 200 || len(list.Endpoints) != 0 {
		t.Errorf("nothing new: %d, %+v", status, list)
	}
	a.Status = Deleted
	d.SetLines(a)
	if _, list := fetch(t, address, ""); len(list.Endpoints) != 1 {
		t.Errorf("the full list has an endpoint that is gone: %+v", list)
	}
	d.SetDown(true)
	if status, _ := fetch(t, address, "?after=3&wait_ms=20000"); status != 503 {
		t.Errorf("down: %d", status)
	}
	// A delivered drain holds from then on: a later attempt to that endpoint is a violation by the sidecar.
	checker.Do(func(b *oracle.Checker) {
		b.RequestBegun(oracle.Request{ID: "1", Sidecar: "s", Effect: decide.Safe, Deadline: time.Hour})
		b.RequestWritten("1")
		b.AttemptArrived(oracle.Arrival{ID: "1", Endpoint: "a", FirstByte: checker.Now() + 2*time.Minute, Accepted: true})
		if n := b.Close().Rules[oracle.SentToDrained]; n != 1 {
			t.Errorf("%d attempts after the drain are recorded, want 1", n)
		}
	})
}
