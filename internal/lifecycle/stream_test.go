package lifecycle

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"heathgap/decide"
	"heathgap/internal/lab/scripted"
)

// patternBody returns a body in which each byte depends on its position.
func patternBody(length int) []byte {
	b := make([]byte, length)
	for i := range b {
		b[i] = byte(i>>12 ^ i)
	}
	return b
}

// Long answers and bodies are forwarded unchanged, with a length or in chunks, several at once, and memory use does not
// grow with their size. What is longer than allowed is rejected.
func TestLongAnswersAndBodies(t *testing.T) {
	const long, at, memoryMB = 24 << 20, 6, 64
	answer := patternBody(long)
	slow := http.NewServeMux()
	slow.HandleFunc("/look/", func(w http.ResponseWriter, r *http.Request) { w.Write(answer) })
	slow.HandleFunc("/pay/", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil || !bytes.Equal(body, answer) {
			w.WriteHeader(500)
		}
		fmt.Fprint(w, len(body))
	})
	conf := scripted.SidecarConfig(scripted.StartDiscovery(t), scripted.Line("e1", serveHTTP(t, slow)))
	listen := scripted.FreeAddress(t)
	conf["listen"] = listen
	conf["limits"] = map[string]any{"memory_mb": memoryMB, "sockets": 384}
	setDeadlines(conf, 20000)
	p := launch(t, conf)
	eventually(t, "ready", isReady(t, listen))
	var wait sync.WaitGroup
	for i := range at {
		wait.Go(func() {
			r := request(t, listen, http.MethodGet, "/look/long", "")
			r.Header.Set("X-Remaining", "20")
			status, body, err := trySend(r)
			if status != 200 || err != nil || body != string(answer) {
				t.Errorf("answer: %d, %d bytes, %v", status, len(body), err)
			}
		})
		wait.Go(func() {
			r := request(t, listen, http.MethodPost, "/pay/long", "")
			r.Header.Set("X-Remaining", "20")
			r.Header.Set("Idempotency-Key", newID())
			r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(answer)), long
			if i%2 == 0 {
				r.ContentLength = -1 // in chunks
			}
			if status, body, err := trySend(r); status != 200 || err != nil || body != fmt.Sprint(long) {
				t.Errorf("body %d: %d %q, %v", i, status, body, err)
			}
		})
	}
	wait.Wait()
	if kb := peakMemory(t, p.Process.Pid); kb > memoryMB<<10 {
		t.Errorf("peak memory %d kB, the limit is %d kB", kb, memoryMB<<10)
	}
	r := request(t, listen, http.MethodPost, "/pay/long", "")
	r.Header.Set("Idempotency-Key", newID())
	r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(make([]byte, 33<<20))), 33<<20
	if status, _, err := trySend(r); err == nil && status < 400 {
		t.Errorf("33 MB: %d, want an error", status)
	}
}

func serveHTTP(t *testing.T, h http.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: h}
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
	return l.Addr().String()
}

// A long answer that breaks off never looks complete; it counts as an error, also in the decision module. An answer that
// comes slowly is streamed while it is still coming.
func TestLongAnswerThatBreaksOff(t *testing.T) {
	release := make(chan struct{})
	e := scripted.StartEndpoint(t, "e1", func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "told") {
			w.Header().Set("Content-Length", "200000")
		}
		w.Write(patternBody(100_000))
		w.(http.Flusher).Flush()
		<-release
		panic(http.ErrAbortHandler)
	})
	conf := scripted.SidecarConfig(scripted.StartDiscovery(t), e.Line())
	conf["console"] = "127.0.0.1:0"
	s := start(t, conf)
	for i, path := range []string{"/look/told", "/look/chunks"} {
		answer, err := http.DefaultClient.Do(request(t, s.Address(), http.MethodGet, path, ""))
		if err != nil || answer.StatusCode != 200 {
			t.Fatalf("%s: %v", path, err)
		}
		if _, err := io.ReadFull(answer.Body, make([]byte, 90_000)); err != nil {
			t.Errorf("%s: its beginning is not streamed before the rest comes: %v", path, err)
		}
		if n := readStats(t, s.console.Address())["active"]; n != 1 {
			t.Errorf("%s: %d active while it is streamed, want 1", path, n)
		}
		release <- struct{}{}
		if _, err := io.ReadAll(answer.Body); err == nil {
			t.Errorf("%s: a truncated answer looks complete", path)
		}
		answer.Body.Close()
		eventually(t, "it counts as an error", func() bool {
			f := readStats(t, s.console.Address())
			return f["errors.look"] == i+1 && f["active"] == 0
		})
	}
	if n := strings.Count(s.log.String(), `"why":"unexpected EOF","message":"answer broken off"`); n != 2 {
		t.Errorf("%d log lines say why an answer was broken off, want 2\n%s", n, s.log)
	}
	if n := e.Count(); n != 2 {
		t.Errorf("%d attempts, want 2: a streamed answer can't be retried", n)
	}
}

// A body that breaks off or is too slow never reaches an endpoint as a complete one. A slow one that keeps to the
// minimum rate does, also if the endpoint is slow to read.
func TestLongBodies(t *testing.T) {
	var whole atomic.Int64
	address := serveHTTP(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(50 * time.Millisecond)
		if n, err := io.Copy(io.Discard, r.Body); err == nil {
			whole.Add(1)
			fmt.Fprint(w, n)
		}
	}))
	s := start(t, scripted.SidecarConfig(scripted.StartDiscovery(t), scripted.Line("e1", address)))
	const length = 200_000
	for name, c := range map[string]struct {
		framing string
		send    func(conn net.Conn)
		want    string // status of the answer; any but 200 stands for a failure

		continues bool // the sidecar first answers 100 Continue
	}{
		"whole":        {fmt.Sprint("Content-Length: ", length), func(c net.Conn) { c.Write(patternBody(length)) }, "200", false},
		"in pieces":    {fmt.Sprint("Content-Length: ", length), sendSlowly(length, 20, 20*time.Millisecond), "200", false},
		"in chunks":    {"Transfer-Encoding: chunked", sendChunks(length, true), "200", false},
		"continue":     {"Expect: 100-continue\r\nContent-Length: 5", func(c net.Conn) { c.Write([]byte("hello")) }, "200", true},
		"broken off":   {fmt.Sprint("Content-Length: ", length), func(c net.Conn) { c.Write(patternBody(length - 1)); closeWrite(c) }, "", false},
		"no end":       {"Transfer-Encoding: chunked", func(c net.Conn) { sendChunks(length, false)(c); closeWrite(c) }, "", false},
		"stands still": {fmt.Sprint("Content-Length: ", length), func(c net.Conn) { c.Write(patternBody(length / 2)) }, "", false},
		"not even so":  {"Content-Length: 5000", func(c net.Conn) { c.Write(patternBody(100)) }, "400", false},
	} {
		t.Run(name, func(t *testing.T) {
			before := whole.Load()
			conn := dial(t, s.Address())
			fmt.Fprintf(conn, "POST http://service.internal/pay/x HTTP/1.1\r\nHost: x\r\nX-Txn: %s\r\nX-Remaining: 1.9\r\n"+
				"Idempotency-Key: %s\r\n%s\r\n\r\n", newID(), newID(), c.framing)
			c.send(conn)
			begin := time.Now()
			in := bufio.NewReader(conn)
			line, _ := in.ReadString('\n')
			if c.continues && strings.Contains(line, " 100 ") {
				in.ReadString('\n')
				line, _ = in.ReadString('\n')
			}
			served := c.want == "200"
			if served && !strings.Contains(line, " 200 ") || !served && strings.Contains(line, " 200 ") {
				t.Errorf("%q, want %q", line, c.want)
			}
			if took := time.Since(begin); !served && took > 3*time.Second {
				t.Errorf("it must be answered or closed within 3 s, and took %v", took)
			}
			if !served && whole.Load() != before {
				t.Error("a truncated body reached an endpoint as a complete one")
			}
		})
	}
	eventually(t, "no request or connection is left", func() bool { return s.Counters().Pending == 0 && s.callers.Open() == 0 })
}

func closeWrite(c net.Conn) { c.(*net.TCPConn).CloseWrite() }

func sendSlowly(length, pieces int, pause time.Duration) func(net.Conn) {
	return func(c net.Conn) {
		for body := patternBody(length); len(body) > 0; time.Sleep(pause) {
			n := min(len(body), length/pieces)
			c.Write(body[:n])
			body = body[n:]
		}
	}
}

func sendChunks(length int, end bool) func(net.Conn) {
	return func(c net.Conn) {
		for body := patternBody(length); len(body) > 0; {
			n := min(len(body), 7777)
			fmt.Fprintf(c, "%x;ext=1\r\n%s\r\n", n, body[:n])
			body = body[n:]
		}
		if end {
			io.WriteString(c, "0\r\nX-Sum: 1\r\n\r\n")
		}
	}
}

// A long body that fails to connect to one endpoint is sent to the next; once some of it has been sent, it is not sent
// again.
func TestLongBodyIsSentOnce(t *testing.T) {
	good := scripted.StartEndpoint(t, "good", func(w http.ResponseWriter, r *http.Request) { io.Copy(io.Discard, r.Body) })
	gone := scripted.Line("gone", scripted.FreeAddress(t))
	s := start(t, scripted.SidecarConfig(scripted.StartDiscovery(t), gone, good.Line()))
	send := func(address string) int {
		r := request(t, address, http.MethodPost, "/burn/long", string(patternBody(150_000)))
		status, _, err := trySend(r)
		if err != nil {
			t.Fatal(err)
		}
		return status
	}
	for range 6 {
		if status := send(s.Address()); status != 200 {
			t.Errorf("with one endpoint absent: %d", status)
		}
	}
	bad := scripted.StartEndpoint(t, "bad", func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		panic(http.ErrAbortHandler)
	})
	s = start(t, scripted.SidecarConfig(scripted.StartDiscovery(t), bad.Line()))
	if status := send(s.Address()); status == 200 || status == 503 || bad.Count() != 1 {
		t.Errorf("after it may have run: %d, sent %d times; want a failure and once", status, bad.Count())
	}
	if c := s.Counters(); c.Outcomes[decide.Reset] != 1 {
		t.Errorf("outcomes %v", c.Outcomes)
	}
}

// Pipelined requests are answered in order, and nothing of them is left at the end.
func TestPipelinedRequestsInOrder(t *testing.T) {
	e := scripted.StartEndpoint(t, "e1", func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, r.URL.Path) })
	s := start(t, scripted.SidecarConfig(scripted.StartDiscovery(t), e.Line()))
	conn := dial(t, s.Address())
	var text strings.Builder
	for i := range 5 {
		fmt.Fprintf(&text, "GET /look/%d HTTP/1.1\r\nHost: x\r\nX-Txn: %s\r\nX-Remaining: 1.5\r\n\r\n", i, newID())
	}
	io.WriteString(conn, text.String())
	in := bufio.NewReader(conn)
	for i := range 5 {
		answer, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, _ := io.ReadAll(answer.Body); string(body) != fmt.Sprint("/look/", i) {
			t.Errorf("answer %d: %q", i, body)
		}
	}
	conn.Close()
	eventually(t, "no connection is left", func() bool { return s.callers.Open() == 0 })
	s.stayTime, s.stopped = 0, true
	s.Stop()
	if err := s.Audit(); err != nil || s.callers.Pending() != 0 {
		t.Errorf("%v; requests pending %v", err, s.callers.Pending() != 0)
	}
}

// Guards against chunks sent to a caller that speaks HTTP/1.0, which can't read them.
func TestLongAnswerToHTTP10(t *testing.T) {
	text := patternBody(300_000)
	e := scripted.StartEndpoint(t, "e1", func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "told") {
			w.Header().Set("Content-Length", fmt.Sprint(len(text)))
		}
		w.Write(text)
	})
	s := start(t, scripted.SidecarConfig(scripted.StartDiscovery(t), e.Line()))
	for path, want := range map[string]int{"/look/told": 200, "/look/chunks": 502} {
		conn := dial(t, s.Address())
		fmt.Fprintf(conn, "GET %s HTTP/1.0\r\nHost: x\r\nX-Txn: %s\r\nX-Remaining: 1.5\r\n\r\n", path, newID())
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || answer.StatusCode != want || len(answer.TransferEncoding) > 0 {
			t.Fatalf("%s: %+v, %v", path, answer, err)
		}
		if got, err := io.ReadAll(answer.Body); err != nil || want == 200 && !bytes.Equal(got, text) {
			t.Errorf("%s: %d bytes, %v", path, len(got), err)
		}
	}
}

// Guards against a request that gets no final answer in its time: its endpoint stalls within an answer that has begun to
// pass on. Its caller must see by the deadline, and half a second more at most, that the answer is not whole.
func TestBegunAnswerThatStallsEndsInTime(t *testing.T) {
	const deadline, mostLate = 600 * time.Millisecond, 500 * time.Millisecond
	for name, beginning := range map[string]string{
		"no length": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf",
		"chunks":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhalf",
	} {
		t.Run(name, func(t *testing.T) {
			endpoint := scripted.Listen(t)
			conf := scripted.SidecarConfig(scripted.StartDiscovery(t), scripted.Line("e1", endpoint.Address))
			setDeadlines(conf, deadline.Seconds()*1000)
			s := start(t, conf)
			caller := scripted.Connect(t, s.Address())
			begin := time.Now()
			caller.Send(requestText("/look", ""))
			attempt := endpoint.Accept()
			attempt.ReadRequest()
			attempt.Send(beginning)
			status, body := caller.ReadAnswer()
			if took := time.Since(begin); status != 0 || body != "half" || took > deadline+mostLate {
				t.Errorf("status %d, %q after %v; want the beginning, broken off within %v", status, body, took, deadline+mostLate)
			}
		})
	}
}

// Guards against a stop that is killed while a begun answer of usual length stalls: its caller must be told before, with room
// for a pause.
func TestStopBreaksOffBegunAnswersThatStall(t *testing.T) {
	const deadline, sentAfter = time.Second, 900 * time.Millisecond
	endpoint := scripted.Listen(t)
	conf := scripted.SidecarConfig(scripted.StartDiscovery(t), scripted.Line("e1", endpoint.Address))
	setDeadlines(conf, deadline.Seconds()*1000)
	s := start(t, conf)
	s.stopped, s.stayTime = true, sentAfter+50*time.Millisecond
	caller := scripted.Connect(t, s.Address())
	stopped := make(chan struct{})
	begin := time.Now()
	go func() { s.Stop(); close(stopped) }()
	time.Sleep(sentAfter)
	caller.Send(requestText("/look", ""))
	attempt := endpoint.Accept()
	attempt.ReadRequest()
	attempt.Send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf")
	status, body := caller.ReadAnswer()
	if took := time.Since(begin); status != 0 || body != "half" || took > deadline+killDelay-maxHoldUp {
		t.Errorf("status %d, %q after %v; want the beginning, broken off before the kill and a pause", status, body, took)
	}
	caller.Close()
	<-stopped
}
