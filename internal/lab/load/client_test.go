package load

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"heathgap/decide"
	"heathgap/internal/lab/oracle"
)

const testTimeout = 20 * time.Second

// newScriptedClient returns a client of a fake sidecar that handles each connection by the next script. A script gets
// the number of the request on its connection and its ID, and returns false to close the connection.
func newScriptedClient(t *testing.T, scripts ...func(conn net.Conn, n int, id string) bool) *Client {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for _, script := range scripts {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				in := bufio.NewReader(conn)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					io.Copy(io.Discard, r.Body)
					if !script(conn, n, r.Header.Get("X-Txn")) {
						return
					}
				}
			}()
		}
	}()
	checker := oracle.NewShared(oracle.New(oracle.Conf{Margin: testTimeout}), oracle.NewService(nil, 0))
	front := &SingleTarget{}
	front.Set(&Target{Name: "s", Address: listener.Addr().String()})
	c := NewClient(checker, front, 10*time.Millisecond)
	t.Cleanup(c.Close)
	return c
}

// writeServed writes a served answer to the request with the given ID.
func writeServed(conn net.Conn, id string) {
	body := id + " e\n"
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
}

// serveAll is a script that serves every request.
func serveAll(conn net.Conn, _ int, id string) bool { writeServed(conn, id); return true }

// sendWithin sends a safe request with a deadline that is timeout from now.
func (c *Client) sendWithin(id string, timeout time.Duration) Result {
	return c.Send(context.Background(), Request{ID: id, Class: "look", Effect: decide.Safe, Deadline: c.checker.Now() + timeout})
}

// closeReport closes the checker and returns its report.
func closeReport(c *Client) (a oracle.Report) {
	c.checker.Do(func(b *oracle.Checker) { a = b.Close() })
	return a
}

// Each ending of a request gives the right result, and a missing or foreign answer counts as a lost request.
func TestRequestEndings(t *testing.T) {
	reply := func(text string) func(net.Conn, int, string) bool {
		return func(conn net.Conn, _ int, _ string) bool { io.WriteString(conn, text); return false }
	}
	neverAnswer := func(net.Conn, int, string) bool { time.Sleep(testTimeout); return false }
	for name, c := range map[string]struct {
		script  func(net.Conn, int, string) bool
		result  Result
		lost    int
		timeout time.Duration
		foreign bool
	}{
		"served":    {script: serveAll, result: Result{Ending: Answered}, timeout: testTimeout},
		"refused":   {script: reply("HTTP/1.1 503 x\r\nRetry-After: 0.25\r\nContent-Length: 0\r\n\r\n"), result: Result{Answered, oracle.Refused, 250 * time.Millisecond}, timeout: testTimeout},
		"failed":    {script: reply("HTTP/1.1 502 x\r\nContent-Length: 0\r\n\r\n"), result: Result{Ending: Answered, Verdict: oracle.Failed}, timeout: testTimeout},
		"truncated": {script: reply("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx"), result: Result{Ending: NoAnswer}, lost: 1, timeout: testTimeout},
		"closed":    {script: reply(""), result: Result{Ending: NoAnswer}, lost: 1, timeout: testTimeout},
		"no answer": {script: neverAnswer, result: Result{Ending: NoAnswer}, lost: 1, timeout: 30 * time.Millisecond},
		"foreign":   {script: func(conn net.Conn, _ int, _ string) bool { writeServed(conn, "other"); return true }, result: Result{Ending: Answered, Verdict: oracle.Failed}, lost: 1, timeout: testTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			client := newScriptedClient(t, c.script)
			if got := client.sendWithin("1", c.timeout); got != c.result {
				t.Errorf("got %+v, want %+v", got, c.result)
			}
			a := closeReport(client)
			if a.Rules[oracle.LostRequest] != c.lost || a.NumViolations() != c.lost || a.Balance() != nil {
				t.Errorf("violations %v, balance %v", a.Violations, a.Balance())
			}
		})
	}
}

// A sidecar may close an idle connection just as a request is sent on it. The client then sends the request again on a
// new connection and nothing is lost; TestRequestEndings checks that on a new connection it is a loss.
func TestConnectionEndsDuringRequest(t *testing.T) {
	once := func(conn net.Conn, n int, id string) bool {
		if n == 0 {
			writeServed(conn, id)
		}
		return n == 0
	}
	c := newScriptedClient(t, once, serveAll)
	for _, id := range []string{"1", "2"} {
		if got := c.sendWithin(id, testTimeout); got.Ending != Answered {
			t.Errorf("request %s: %+v", id, got)
		}
	}
	if a := closeReport(c); a.NumViolations() > 0 || a.Balance() != nil || a.Sidecars["s"].Requests != 2 {
		t.Errorf("%v, %v, %+v", a.Violations, a.Balance(), a.Sidecars["s"])
	}
}

// Bytes after an answer are noticed, here when the connection is to be used again, as a request that was answered
// twice.
func TestExtraBytes(t *testing.T) {
	var late atomic.Bool
	c := newScriptedClient(t, func(conn net.Conn, n int, id string) bool {
		writeServed(conn, id)
		if n == 0 {
			time.AfterFunc(20*time.Millisecond, func() { writeServed(conn, id); late.Store(true) })
		}
		return true
	}, serveAll)
	c.sendWithin("1", testTimeout)
	for end := time.Now().Add(testTimeout); !late.Load(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the second answer never came")
		}
	}
	time.Sleep(20 * time.Millisecond) // the second answer is on its way over loopback
	if got := c.sendWithin("2", testTimeout); got.Ending != Answered {
		t.Errorf("the next request: %+v", got)
	}
	if a := closeReport(c); a.Rules[oracle.AnsweredTwice] != 1 || a.NumViolations() != 1 {
		t.Errorf("violations %v", a.Violations)
	}
}

// A request that a stopped sidecar held counts as interrupted and violates no rule.
func TestSidecarStopped(t *testing.T) {
	c := newScriptedClient(t, func(conn net.Conn, _ int, _ string) bool { return false })
	c.front.Pick().Stopped.Store(true)
	if got := c.sendWithin("1", testTimeout); got.Ending != SidecarStopped {
		t.Errorf("%+v", got)
	}
	if a := closeReport(c); a.NumViolations() > 0 || a.Balance() != nil || a.Sidecars["s"].Interrupted != 1 {
		t.Errorf("%v, %v", a.Violations, a.Balance())
	}
}

// A client that leaves early ends its request without a violation of a rule.
func TestClientLeaves(t *testing.T) {
	c := newScriptedClient(t, func(net.Conn, int, string) bool { time.Sleep(testTimeout); return false })
	got := c.Send(context.Background(), Request{ID: "1", Class: "look", Effect: decide.Safe,
		Deadline: c.checker.Now() + testTimeout, Leave: c.checker.Now() + 30*time.Millisecond})
	if got.Ending != ClientLeft {
		t.Errorf("%+v", got)
	}
	if a := closeReport(c); a.NumViolations() > 0 || a.Balance() != nil {
		t.Errorf("%v, %v", a.Violations, a.Balance())
	}
}

// Clients retry what was refused, and what failed if a retry can do no harm, until their retries are used up.
func TestRetries(t *testing.T) {
	refuse := func(conn net.Conn, _ int, _ string) bool {
		io.WriteString(conn, "HTTP/1.1 503 x\r\nRetry-After: 0.02\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	fail := func(conn net.Conn, _ int, _ string) bool {
		io.WriteString(conn, "HTTP/1.1 502 x\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	for name, c := range map[string]struct {
		script func(net.Conn, int, string) bool
		effect decide.Effect
		tries  int
	}{
		"refused safe": {refuse, decide.Safe, 3}, "refused unsafe": {refuse, decide.Unsafe, 3},
		"failed safe": {fail, decide.Safe, 3}, "failed unsafe": {fail, decide.Unsafe, 1},
		"served": {serveAll, decide.Safe, 1},
	} {
		t.Run(name, func(t *testing.T) {
			client := newScriptedClient(t, c.script)
			plan := &Plan{Rate: 1, Duration: time.Second, Classes: []Share{{"look", 1}}, Tenants: []Share{{"a", 1}}}
			d := &Driver{
				Plan: plan, Client: client, Checker: client.checker, Behavior: ClientBehavior{Retries: 2, Backoff: time.Millisecond},
				Classes: []Class{{"look", c.effect, testTimeout}}, Base: client.checker.Now(),
			}
			// A single arrival made by hand: the number of arrivals of a plan depends on its seed.
			d.runOne(t, Arrival{Seed: 1})
			if n := closeReport(client).Sidecars["s"].Requests; n != c.tries {
				t.Errorf("%d requests sent, want %d", n, c.tries)
			}
		})
	}
}

// runOne sends a single logical request with its retries.
func (d *Driver) runOne(t *testing.T, a Arrival) {
	t.Helper()
	d.initLag()
	d.fulfill(t.Context(), a)
}

// Malformed requests are counted by their outcome: here an answer 400, or the end of the connection.
func TestSendMalformed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for n := 0; ; n++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if n%2 == 0 {
				io.WriteString(conn, "HTTP/1.1 400 x\r\nContent-Length: 0\r\n\r\n")
			}
			conn.(*net.TCPConn).CloseWrite()
			time.AfterFunc(testTimeout, func() { conn.Close() })
		}
	}()
	front := &SingleTarget{}
	front.Set(&Target{Address: listener.Addr().String()})
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	r := SendMalformed(ctx, front, 200, 1)
	if r.Sent < 4 || r.Refused == 0 || r.Closed == 0 || r.Sent != r.Refused+r.Closed || r.Answered+r.Silent != 0 {
		t.Errorf("%+v", r)
	}
}
