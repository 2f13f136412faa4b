package lifecycle

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"heathgap/decide"
	"heathgap/internal/env"
	"heathgap/internal/httpwire"
	"heathgap/internal/lab/scripted"
	"heathgap/internal/operator"
)

// Events that coincide in a complete sidecar, on real sockets. Each step of a test is taken when the one before has been
// seen to happen.

// pastReuseDelay is more than a connection rests behind an answer before it is used again.
const pastReuseDelay = 20 * time.Millisecond

// requestText returns a request as a caller writes it; with further headers it is a POST.
func requestText(path, headers string) string {
	method := "GET"
	if headers != "" {
		method = "POST"
	}
	return method + " " + path + " HTTP/1.1\r\nHost: x\r\nX-Txn: " + newID() + "\r\nX-Remaining: 1.9\r\n" + headers + "\r\n"
}

// Guards against requests that are forwarded though their callers have disconnected: many callers disconnect in one
// burst, in various ways, while their requests wait for an endpoint. None of these requests may be sent once there is
// one.
func TestCallersThatLeaveWhileTheyWait(t *testing.T) {
	leave := []func(p *scripted.Peer){
		func(p *scripted.Peer) { p.Close() },
		func(p *scripted.Peer) { p.Reset() },
		func(p *scripted.Peer) { p.CloseWrite() },
		func(p *scripted.Peer) { p.Send(requestText("/look/ahead", "")); p.Close() },
		func(p *scripted.Peer) { p.Send(strings.Repeat("x", 40<<10)); p.Close() },
		func(p *scripted.Peer) { p.Send(strings.Repeat(requestText("/look/ahead", ""), 3)); p.Reset() },
	}
	e := scripted.StartEndpoint(t, "e1", nil)
	d := scripted.StartDiscovery(t)
	s := start(t, scripted.SidecarConfig(d))
	const burst = 120
	var peers []*scripted.Peer
	for range burst {
		p := scripted.Connect(t, s.Address())
		p.Send(requestText("/look", ""))
		peers = append(peers, p)
	}
	eventually(t, "all requests are pending", func() bool { return s.Counters().Pending == burst })
	for i, p := range peers {
		leave[i%len(leave)](p)
	}
	eventually(t, "all disconnects are noticed", func() bool { return s.Counters().Left == burst })
	d.Publish(t, 2, e.Line())
	if status, _ := get(t, s.Address(), "/look"); status != 200 {
		t.Errorf("a caller that stays: %d", status)
	}
	if n := e.Count(); n != 1 {
		t.Errorf("%d requests were forwarded, want only that of the connected caller", n)
	}
}

// Guards against a request that is sent while its idle connection is being closed and is forwarded though its caller
// can't get the answer, and against a reset instead: the caller reads EOF and can retry elsewhere.
func TestRequestOnAClosingConnection(t *testing.T) {
	e := scripted.StartEndpoint(t, "e1", nil)
	s := start(t, scripted.SidecarConfig(scripted.StartDiscovery(t), e.Line()))
	p := scripted.Connect(t, s.Address())
	p.Send(requestText("/look", ""))
	if status, _ := p.ReadAnswer(); status != 200 {
		t.Fatalf("status %d", status)
	}
	stopped := make(chan struct{})
	s.stopped = true
	go func() { s.Stop(); close(stopped) }()
	if text, err := p.ReadToEnd(); text != "" || err != nil { // the sidecar has closed its side for writing
		t.Fatalf("instead of EOF: %q, %v", text, err)
	}
	for range 3 { // a closed connection would answer the first with a reset, which the next would run into
		if _, err := io.WriteString(p, requestText("/look", "")); err != nil {
			t.Errorf("writing during the close: %v", err)
		}
	}
	p.Close()
	<-stopped
	if n := e.Count(); n != 1 {
		t.Errorf("%d requests were forwarded, want only the first", n)
	}
}

// Requests that come while a sidecar stops: pipelined ones after the last answer, and an incomplete one whose rest never
// comes. New connections are refused, and the pending request gets a complete answer and then EOF.
func TestRequestsDuringAStop(t *testing.T) {
	endpoint := scripted.Listen(t)
	d := scripted.StartDiscovery(t)
	s := start(t, scripted.SidecarConfig(d, scripted.Line("e1", endpoint.Address)))
	first := scripted.Connect(t, s.Address())
	first.Send(requestText("/look", ""))
	attempt := endpoint.Accept()
	attempt.ReadRequest()
	incomplete := scripted.Connect(t, s.Address())
	incomplete.Send("GET /look HTTP/1.1\r\nHost")
	s.stopped = true
	s.stayTime = 10 * time.Millisecond
	stopped := make(chan struct{})
	begin := time.Now()
	go func() { s.Stop(); close(stopped) }()
	eventually(t, "it stopped listening", func() bool {
		conn, err := net.Dial("tcp", s.Address())
		if err == nil {
			conn.Close()
		}
		return err != nil
	})
	first.Send(requestText("/look", "") + requestText("/look", "")) // pipelined after the last request
	incomplete.Send(":")                                            // one byte, and the rest never comes
	attempt.Send(scripted.OK("one"))
	if status, body := first.ReadAnswer(); status != 200 || body != "one" {
		t.Errorf("the last answer: %d %q", status, body)
	}
	if text, err := first.ReadToEnd(); text != "" || err != nil {
		t.Errorf("after the last answer: %q, %v", text, err)
	}
	first.Close()
	<-stopped
	if took := time.Since(begin); took > killAfter+time.Second { // the machine may be slow
		t.Errorf("stopping took %v", took)
	}
	if c := s.Counters(); c.Accepted != 1 || c.Served != 1 || endpoint.HasPending() {
		t.Errorf("%+v, a second connection to the endpoint: %v; want one request taken and served", c, endpoint.HasPending())
	}
}

// blockingEnv is an environment whose connections to some addresses block before a write until they are released.
type blockingEnv struct {
	env.Real
	blockedAddresses sync.Map // addresses whose connections block
	blocked          chan string
	release          chan struct{}
	skipped          int // first writes of each connection that do not block
}

type blockingConn struct {
	*net.TCPConn
	env    *blockingEnv
	writes int
}

// Dial implements env.Env.
func (e *blockingEnv) Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	conn, err := e.Real.Dial(ctx, address, timeout)
	if _, holds := e.blockedAddresses.Load(address); err != nil || !holds {
		return conn, err
	}
	return &blockingConn{TCPConn: conn.(*net.TCPConn), env: e}, nil
}

// Write implements net.Conn.
func (c *blockingConn) Write(b []byte) (int, error) {
	if c.writes++; c.writes > c.env.skipped {
		c.env.blocked <- c.RemoteAddr().String()
		<-c.env.release
	}
	return c.TCPConn.Write(b)
}

// An endpoint closes its connection between the check of that connection and the write of a request. If it is reset
// before the last byte is written, the request has never run and is sent elsewhere, whatever its class. If it is closed
// normally, the bytes are still written and the request may have run: it is sent again only if its class allows repeats.
func TestConnectionThatEndsAsARequestIsWritten(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		more   string
		end    func(*scripted.Peer)
		status int
	}{
		"unsafe, broken before": {"/burn", "Content-Length: 0\r\n", (*scripted.Peer).Reset, 200},
		"safe, broken before":   {"/look", "", (*scripted.Peer).Reset, 200},
		"unsafe, ended":         {"/burn", "Content-Length: 0\r\n", func(p *scripted.Peer) { p.Close() }, 502},
		"safe, ended":           {"/look", "", func(p *scripted.Peer) { p.Close() }, 200},
	} {
		t.Run(name, func(t *testing.T) {
			endpoint := scripted.Listen(t)
			environment := &blockingEnv{blocked: make(chan string, 1), release: make(chan struct{}), skipped: 1}
			environment.blockedAddresses.Store(endpoint.Address, true)
			d := scripted.StartDiscovery(t)
			s := startWith(t, scripted.SidecarConfig(d, scripted.Line("e1", endpoint.Address)), Options{Operator: operator.Default(), Env: environment})
			p := scripted.Connect(t, s.Address())
			p.Send(requestText("/look", ""))
			e := endpoint.Accept()
			e.ReadRequest()
			e.Send(scripted.OK("first"))
			if status, _ := p.ReadAnswer(); status != 200 {
				t.Fatalf("the first: %d", status)
			}
			time.Sleep(pastReuseDelay)
			p.Send(requestText(c.path, c.more))
			<-environment.blocked // the connection has been checked and chosen
			c.end(e)
			second := scripted.StartEndpoint(t, "e2", nil)
			d.Publish(t, 2, scripted.Line("e1", scripted.FreeAddress(t)), second.Line())
			eventually(t, "the second is listed", func() bool { return s.Counters().Endpoints == 2 })
			close(environment.release)
			if status, _ := p.ReadAnswer(); status != c.status {
				t.Errorf("answered %d, want %d; %+v", status, c.status, s.Counters().Outcomes)
			}
			outcome := decide.Reset
			if strings.Contains(name, "before") {
				outcome = decide.ConnectFailed
			}
			if s.Counters().Outcomes[outcome] < 1 {
				t.Errorf("outcomes %v", s.Counters().Outcomes)
			}
		})
	}
}

// What an endpoint sends on an idle connection, an incomplete line or a complete second answer, must not be taken for
// the answer to the next request.
func TestUnsolicitedBytesOnIdleConnection(t *testing.T) {
	for name, text := range map[string]string{
		"half a line": "HTTP/1.", "a second answer": scripted.OK("another's"), "100": "HTTP/1.1 100 Continue\r\n\r\n",
	} {
		endpoint := scripted.Listen(t)
		s := start(t, scripted.SidecarConfig(scripted.StartDiscovery(t), scripted.Line("e1", endpoint.Address)))
		p := scripted.Connect(t, s.Address())
		p.Send(requestText("/look", ""))
		e := endpoint.Accept()
		e.ReadRequest()
		e.Send(scripted.OK("first"))
		if _, body := p.ReadAnswer(); body != "first" {
			t.Fatalf("%s: %q", name, body)
		}
		e.Send(text) // on loopback, it has arrived when it is written
		time.Sleep(pastReuseDelay)
		p.Send(requestText("/look", ""))
		next := endpoint.Accept()
		next.ReadRequest()
		next.Send(scripted.OK("second"))
		if status, body := p.ReadAnswer(); status != 200 || body != "second" {
			t.Errorf("%s: answered %d %q", name, status, body)
		}
	}
}

// Guards against a SIGTERM that comes while a process starts and is lost, or kills it. The configuration is a named
// pipe: when it can be opened for writing, the process is reading it and has set up its signals before.
func TestSIGTERMWhileItStarts(t *testing.T) {
	conf := scripted.SidecarConfig(&scripted.Discovery{Address: scripted.FreeAddress(t)}, scripted.Line("e1", scripted.FreeAddress(t)))
	setDeadlines(conf, 300)
	text, err := os.ReadFile(scripted.WriteConfig(t, conf))
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "pipe.json")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	p := launchAt(t, conf, path)
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	p.Process.Signal(syscall.SIGTERM) //nolint:errcheck // it lives: it reads the pipe
	if _, err := pipe.Write(text); err != nil {
		t.Fatal(err)
	}
	pipe.Close()
	if err := p.Wait(); err != nil || !strings.Contains(p.log.String(), `"stopped"`) {
		t.Errorf("it ended with %v:\n%s", err, p.log)
	}
}

// A SIGTERM at any time, also twice or during a reload with a silent discovery, ends the process gracefully.
func TestSIGTERMAtAnyTime(t *testing.T) {
	silent := scripted.Listen(t)
	term := func(p *process) { p.Process.Signal(syscall.SIGTERM) } //nolint:errcheck // it may have ended
	for name, signalProcess := range map[string]func(p *process){
		"twice": func(p *process) {
			eventually(t, "ready", func() bool { return strings.Contains(p.log.String(), `"ready"`) })
			term(p)
			eventually(t, "stopping", func() bool { return strings.Contains(p.log.String(), `"stopping"`) })
			term(p)
		},
		"during a reload": func(p *process) {
			eventually(t, "ready", func() bool { return strings.Contains(p.log.String(), `"ready"`) })
			p.Process.Signal(syscall.SIGHUP) //nolint:errcheck // it lives
			term(p)
		},
	} {
		t.Run(name, func(t *testing.T) {
			conf := scripted.SidecarConfig(&scripted.Discovery{Address: silent.Address}, scripted.Line("e1", scripted.FreeAddress(t)))
			address := scripted.FreeAddress(t)
			conf["listen"] = address
			setDeadlines(conf, 300)
			p := launch(t, conf)
			signalProcess(p)
			if err := p.Wait(); err != nil || !strings.Contains(p.log.String(), `"stopped"`) {
				t.Errorf("it ended with %v:\n%s", err, p.log)
			}
		})
	}
}

// Guards against a start that waits for discovery: with a silent, absent or unreachable discovery, a process serves with
// the list in its configuration.
func TestReadyWithoutDiscovery(t *testing.T) {
	e := scripted.StartEndpoint(t, "e1", nil)
	for name, address := range map[string]string{
		"silent": scripted.Listen(t).Address, "away": scripted.FreeAddress(t), "cut off": scripted.UnreachableAddress(t),
	} {
		begin := time.Now()
		s := start(t, scripted.SidecarConfig(&scripted.Discovery{Address: address}, e.Line()))
		if status, _ := get(t, s.Address(), "/up"); status != 200 {
			t.Errorf("%s: /up answers %d", name, status)
		}
		if status, _ := get(t, s.Address(), "/look"); status != 200 {
			t.Errorf("%s: answered %d", name, status)
		}
		if took := time.Since(begin); took > 5*time.Second {
			t.Errorf("%s: it took %v", name, took)
		}
	}
}

// A flood of every kind at once: silent connections, endless heads, slow bodies, junk. Usual callers are still served,
// and the limit of connections holds.
func TestUsualCallersUnderAFlood(t *testing.T) {
	e := scripted.StartEndpoint(t, "e1", nil)
	conf := scripted.SidecarConfig(scripted.StartDiscovery(t), e.Line())
	conf["limits"].(map[string]any)["sockets"] = 200
	s := start(t, conf)
	texts := []string{
		"", "GET /look HTTP/1.1\r\nX-Pad: " + strings.Repeat("x", 4000),
		"POST /burn HTTP/1.1\r\nHost: x\r\nX-Txn: f1\r\nX-Remaining: 1\r\nContent-Length: 90000\r\n\r\nx",
		strings.Repeat("\x00\x01junk", 2000), strings.Repeat("GET / HTTP/9.9\r\n", 600),
	}
	ended := make(chan struct{})
	var wait sync.WaitGroup
	for i := range 40 {
		wait.Go(func() {
			for {
				select {
				case <-ended:
					return
				default:
				}
				conn, err := net.Dial("tcp", s.Address())
				if err != nil {
					continue
				}
				io.WriteString(conn, texts[i%len(texts)]) //nolint:errcheck // it may be rejected
				conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
				io.Copy(io.Discard, conn) //nolint:errcheck // a flood ignores answers
				conn.Close()
			}
		})
	}
	const usual = 150
	bad := map[string]int{}
	client := &http.Client{Timeout: patience}
	for range usual {
		answer, err := client.Do(request(t, s.Address(), http.MethodGet, "/look", ""))
		switch {
		case err != nil:
			bad[errors.Unwrap(err).Error()]++
		default:
			if _, err := io.Copy(io.Discard, answer.Body); err != nil || answer.StatusCode != 200 {
				bad[fmt.Sprint(answer.StatusCode, err)]++
			}
			answer.Body.Close()
		}
	}
	close(ended)
	wait.Wait()
	if n := len(bad); n > 0 || e.Count() != usual {
		t.Errorf("%v of %d usual requests failed, %d reached the endpoint", bad, usual, e.Count())
	}
	eventually(t, "the flood's connections end", func() bool { return s.callers.Open() <= 2 })
}

// Guards against an endless answer that keeps its connections after its caller has disconnected, or takes all memory
// before that.
func TestAnswerThatNeverEnds(t *testing.T) {
	for name, head := range map[string]string{
		"in chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "to its connection's end": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			endpoint := scripted.Listen(t)
			s := start(t, scripted.SidecarConfig(scripted.StartDiscovery(t), scripted.Line("e1", endpoint.Address)))
			p := scripted.Connect(t, s.Address())
			p.Send(requestText("/look", ""))
			e := endpoint.Accept()
			e.ReadRequest()
			ended := make(chan error, 1)
			go func() {
				_, err := io.WriteString(e, head)
				for piece := strings.Repeat("x", 0x1000); err == nil; {
					if name == "in chunks" {
						_, err = io.WriteString(e, "1000\r\n"+piece+"\r\n")
					} else {
						_, err = io.WriteString(e, piece)
					}
				}
				ended <- err
			}()
			if _, err := io.ReadFull(p, make([]byte, 1<<20)); err != nil {
				t.Fatalf("the answer is not streamed: %v", err)
			}
			p.Reset() // the caller has read enough
			if err := <-ended; err == nil {
				t.Error("the answer goes on after its caller has disconnected")
			}
			eventually(t, "it is counted, and its connections are closed", func() bool {
				c := s.Counters()
				return c.Streaming == 0 && c.Pending == 0 && c.Left == 1 && c.Links == 0
			})
		})
	}
}

// Guards against a stop that leaves a request unanswered (report 86c0f4): the process is held up while the signal comes,
// or at some moment before the kill, which comes as early as the protocol allows.
func TestStopThatIsHeldUpAnswersBeforeTheKill(t *testing.T) {
	const deadline = 300 * time.Millisecond
	for _, at := range []time.Duration{0, 350, 450, 500, 550, 600, 650, 700, 750, 800, 850} {
		at *= time.Millisecond
		t.Run(fmt.Sprint(at), func(t *testing.T) {
			t.Parallel()
			e := scripted.StartEndpoint(t, "e1", scripted.NeverAnswer(nil))
			conf := scripted.SidecarConfig(scripted.StartDiscovery(t), e.Line())
			address := scripted.FreeAddress(t)
			conf["listen"] = address
			setDeadlines(conf, deadline.Seconds()*1000)
			conf["settings"].(map[string]any)["profiles"].([]any)[0].(map[string]any)["aim"] = 50.0
			p := launch(t, conf)
			eventually(t, "ready", isReady(t, address))
			caller := dial(t, address)
			if at == 0 {
				p.Process.Signal(syscall.SIGSTOP) //nolint:errcheck // it lives
			}
			begin := time.Now()
			p.Process.Signal(syscall.SIGTERM) //nolint:errcheck // it lives
			kill := time.AfterFunc(deadline+killDelay, func() { p.Process.Kill() })
			defer kill.Stop()
			time.AfterFunc(at, func() {
				p.Process.Signal(syscall.SIGSTOP) //nolint:errcheck // it may have ended
				time.Sleep(maxHoldUp)
				p.Process.Signal(syscall.SIGCONT) //nolint:errcheck // as above
			})
			// The caller uses its open connection until it is told that it ends, as late as that goes.
			reader := bufio.NewReader(caller)
			for {
				sent := time.Now()
				if _, err := io.WriteString(caller, requestText("/look", "")); err != nil {
					return
				}
				answer, err := http.ReadResponse(reader, nil)
				if err != nil && time.Since(sent) > maxHoldUp+machineSlack {
					t.Fatalf("sent %v after the signal, no answer after %v: %v\n%s", sent.Sub(begin), time.Since(begin), err, p.log)
				}
				if err != nil || answer.Close {
					return
				}
				io.Copy(io.Discard, answer.Body) //nolint:errcheck // the next read shows it
			}
		})
	}
}

// Guards against a process that ends in the middle of a request: its last byte may come in that moment, and it would get
// no answer. A long answer that goes on does not keep half a request waiting until the kill.
func TestStopEndsHalfRequests(t *testing.T) {
	const deadline = 300 * time.Millisecond
	for _, streaming := range []bool{false, true} {
		t.Run(fmt.Sprintf("streaming %v", streaming), func(t *testing.T) {
			endpoint := scripted.Listen(t)
			conf := scripted.SidecarConfig(scripted.StartDiscovery(t), scripted.Line("e1", endpoint.Address))
			setDeadlines(conf, deadline.Seconds()*1000)
			s := start(t, conf)
			var attempt *scripted.Peer
			if streaming {
				scripted.Connect(t, s.Address()).Send(requestText("/look", ""))
				attempt = endpoint.Accept()
				attempt.ReadRequest()
				attempt.Send("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("x", 2*httpwire.MaxBuffered))
				eventually(t, "the answer is passed on", func() bool { return s.engine.Streaming() })
			}
			half := scripted.Connect(t, s.Address())
			half.Send("GET /look HTTP/1.1\r\nHost")
			eventually(t, "it has begun to come", func() bool { return s.callers.States()[httpwire.StateReading] == 1 })
			s.stopped = true
			stopped := make(chan struct{})
			begin := time.Now()
			go func() { s.Stop(); close(stopped) }()
			status, _ := half.ReadAnswer()
			if took := time.Since(begin); status != http.StatusBadRequest || took > deadline+killDelay {
				t.Errorf("status %d after %v, want 400 before the kill", status, took)
			}
			half.Close()
			if attempt != nil {
				attempt.Reset()
			}
			<-stopped
			if states := s.callers.States(); states[httpwire.StateReading] > 0 {
				t.Errorf("connections at the end: %v, want none that is reading", states)
			}
		})
	}
}
