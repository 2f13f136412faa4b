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

const patience = 20 * time.Second

// scripted serves connections, each by the next script; a script is told the number
// of the request on its connection and its id.
func scripted(t *testing.T, scripts ...func(conn net.Conn, number int, id string) bool) *Client {
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
	book := oracle.NewShared(oracle.New(oracle.Conf{Margin: patience}), oracle.NewService(nil, 0))
	only := &SingleTarget{}
	only.Set(&Target{Name: "s", Address: listener.Addr().String()})
	c := NewClient(book, only, 10*time.Millisecond)
	t.Cleanup(c.Close)
	return c
}

func serve(conn net.Conn, id string) {
	body := id + " e\n"
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
}

func served(conn net.Conn, _ int, id string) bool { serve(conn, id); return true }

func (c *Client) askFor(id string, left time.Duration) Result {
	return c.Send(context.Background(), Request{ID: id, Class: "look", Effect: decide.Safe, Deadline: c.book.Now() + left})
}

func account(c *Client) (a oracle.Report) {
	c.book.Do(func(b *oracle.Checker) { a = b.Close() })
	return a
}

// Each way in which a request can end is told for what it is.
func TestEnds(t *testing.T) {
	say := func(text string) func(net.Conn, int, string) bool {
		return func(conn net.Conn, _ int, _ string) bool { io.WriteString(conn, text); return false }
	}
	mute := func(net.Conn, int, string) bool { time.Sleep(patience); return false }
	for name, c := range map[string]struct {
		script  func(net.Conn, int, string) bool
		result  Result
		lost    int
		left    time.Duration
		foreign bool
	}{
		"served":  {script: served, result: Result{Ending: Answered}, left: patience},
		"refused": {script: say("HTTP/1.1 503 x\r\nRetry-After: 0.25\r\nContent-Length: 0\r\n\r\n"), result: Result{Answered, oracle.Refused, 250 * time.Millisecond}, left: patience},
		"failed":  {script: say("HTTP/1.1 502 x\r\nContent-Length: 0\r\n\r\n"), result: Result{Ending: Answered, Verdict: oracle.Failed}, left: patience},
		"half":    {script: say("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx"), result: Result{Ending: NoAnswer}, lost: 1, left: patience},
		"closed":  {script: say(""), result: Result{Ending: NoAnswer}, lost: 1, left: patience},
		"mute":    {script: mute, result: Result{Ending: NoAnswer}, lost: 1, left: 30 * time.Millisecond},
		"foreign": {script: func(conn net.Conn, _ int, _ string) bool { serve(conn, "other"); return true }, result: Result{Ending: Answered, Verdict: oracle.Failed}, lost: 1, left: patience},
	} {
		t.Run(name, func(t *testing.T) {
			client := scripted(t, c.script)
			if got := client.askFor("1", c.left); got != c.result {
				t.Errorf("got %+v, want %+v", got, c.result)
			}
			a := account(client)
			if a.Rules[oracle.LostRequest] != c.lost || a.NumViolations() != c.lost || a.Balance() != nil {
				t.Errorf("broken %v, balance %v", a.Violations, a.Balance())
			}
		})
	}
}

// A connection that ends as a request crosses it: the client sends it once more on a
// new one, and nothing is lost. On a new connection the same is a loss.
func TestCrossing(t *testing.T) {
	once := func(conn net.Conn, n int, id string) bool {
		if n == 0 {
			serve(conn, id)
		}
		return n == 0
	}
	c := scripted(t, once, served)
	for _, id := range []string{"1", "2"} {
		if got := c.askFor(id, patience); got.Ending != Answered {
			t.Errorf("request %s: %+v", id, got)
		}
	}
	if a := account(c); a.NumViolations() > 0 || a.Balance() != nil || a.Sidecars["s"].Requests != 2 {
		t.Errorf("%v, %v, %+v", a.Violations, a.Balance(), a.Sidecars["s"])
	}
}

// More than an answer is noticed at once, or when the connection is to be used next.
func TestSurplus(t *testing.T) {
	var late atomic.Bool
	c := scripted(t, func(conn net.Conn, n int, id string) bool {
		serve(conn, id)
		if n == 0 {
			time.AfterFunc(20*time.Millisecond, func() { serve(conn, id); late.Store(true) })
		}
		return true
	}, served)
	c.askFor("1", patience)
	for end := time.Now().Add(patience); !late.Load(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the second answer never came")
		}
	}
	time.Sleep(20 * time.Millisecond) // it is on its way over loopback
	if got := c.askFor("2", patience); got.Ending != Answered {
		t.Errorf("the next request: %+v", got)
	}
	if a := account(c); a.Rules[oracle.AnsweredTwice] != 1 || a.NumViolations() != 1 {
		t.Errorf("broken %v", a.Violations)
	}
}

// What a killed sidecar held is cut, and no rule is broken.
func TestCut(t *testing.T) {
	c := scripted(t, func(conn net.Conn, _ int, _ string) bool { return false })
	c.front.Pick().Stopped.Store(true)
	if got := c.askFor("1", patience); got.Ending != SidecarStopped {
		t.Errorf("%+v", got)
	}
	if a := account(c); a.NumViolations() > 0 || a.Balance() != nil || a.Sidecars["s"].Interrupted != 1 {
		t.Errorf("%v, %v", a.Violations, a.Balance())
	}
}

// Clients leave when they have lost patience, and do not ask again then.
func TestLeaves(t *testing.T) {
	c := scripted(t, func(net.Conn, int, string) bool { time.Sleep(patience); return false })
	got := c.Send(context.Background(), Request{ID: "1", Class: "look", Effect: decide.Safe,
		Deadline: c.book.Now() + patience, Leave: c.book.Now() + 30*time.Millisecond})
	if got.Ending != ClientLeft {
		t.Errorf("%+v", got)
	}
	if a := account(c); a.NumViolations() > 0 || a.Balance() != nil {
		t.Errorf("%v, %v", a.Violations, a.Balance())
	}
}

// A client asks again, later, as long as that may do good and its patience lasts.
func TestRepeats(t *testing.T) {
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
		"served": {served, decide.Safe, 1},
	} {
		t.Run(name, func(t *testing.T) {
			client := scripted(t, c.script)
			plan := &Plan{Rate: 1, Duration: time.Second, Classes: []Share{{"look", 1}}, Tenants: []Share{{"a", 1}}}
			d := &Driver{
				Plan: plan, Client: client, Checker: client.book, Behavior: ClientBehavior{Retries: 2, Backoff: time.Millisecond},
				Classes: []Class{{"look", c.effect, patience}}, Base: client.book.Now(),
			}
			// One arrival by hand: how many a plan has is its seed's.
			d.one(t, Arrival{Seed: 1})
			if n := account(client).Sidecars["s"].Requests; n != c.tries {
				t.Errorf("asked %d times, want %d", n, c.tries)
			}
		})
	}
}

func (d *Driver) one(t *testing.T, a Arrival) {
	t.Helper()
	d.begin()
	d.want(t.Context(), a)
}

// Bad clients are counted by what became of them.
func TestRude(t *testing.T) {
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
			time.AfterFunc(patience, func() { conn.Close() })
		}
	}()
	only := &SingleTarget{}
	only.Set(&Target{Address: listener.Addr().String()})
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	r := SendMalformed(ctx, only, 200, 1)
	if r.Sent < 4 || r.Refused == 0 || r.Closed == 0 || r.Sent != r.Refused+r.Closed || r.Answered+r.Silent != 0 {
		t.Errorf("%+v", r)
	}
}
