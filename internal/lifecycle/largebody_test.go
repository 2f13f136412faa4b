package lifecycle

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"heathgap/internal/lab/scripted"
)

// mostLate is how long after its request's time an answer may come and is not lost (STANDING.md).
const mostLate = 500 * time.Millisecond

// launchSmall launches a process with the least memory and the most descriptors that the pages name, and returns its address.
func launchSmall(t *testing.T, lines ...map[string]any) (p *process, address string) {
	t.Helper()
	conf := scripted.SidecarConfig(scripted.StartDiscovery(t), lines...)
	address = scripted.FreeAddress(t)
	conf["listen"] = address
	conf["limits"] = map[string]any{"cores": 1.0, "memory_mb": leastMemoryMB, "sockets": mostDescriptors}
	p = launch(t, conf)
	eventually(t, "ready", isReady(t, address))
	return p, address
}

// serveSmallBuffers serves connections whose receive buffer is as small as the kernel allows, so that a writer soon has to wait.
func serveSmallBuffers(t *testing.T, serve func(conn net.Conn)) (address string) {
	t.Helper()
	conf := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) { failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) })
		return errors.Join(err, failed)
	}}
	listener, err := conf.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

// readAt reads from a connection at a rate in bytes a second until it ends.
func readAt(conn net.Conn, rate int) {
	const pause = 20 * time.Millisecond
	piece := make([]byte, rate*int(pause)/int(time.Second))
	for {
		if _, err := io.ReadFull(conn, piece); err != nil {
			return
		}
		time.Sleep(pause)
	}
}

// Guards against report 4bbe03: a request whose caller has written all of its large body, and whose endpoint does not read it or
// reads it slowly, gets its final answer seconds after its time.
func TestLargeBodyThatIsReadSlowlyEndsInTime(t *testing.T) {
	const wait = time.Second
	stuck := func(conn net.Conn) { io.CopyN(io.Discard, conn, 9314) } //nolint:errcheck // then it never reads again
	for name, c := range map[string]struct {
		serve   func(conn net.Conn)
		size    int
		chunked bool
		piece   int // bytes that the caller writes at a time; 0 for all at once
	}{
		"stuck, 280 kB in chunks":         {stuck, 280_000, true, 0},
		"stuck, 3 MB in chunks":           {stuck, 3 << 20, true, 0}, // more than the kernel takes from the sidecar, less than from the caller
		"stuck, 4 MB with a length":       {stuck, 4 << 20, false, 0},
		"read slowly, 740 kB in chunks":   {func(conn net.Conn) { readAt(conn, 100_000) }, 737_552, true, 0},
		"read slowly, 4 MB in chunks":     {func(conn net.Conn) { readAt(conn, 800_000) }, 4 << 20, true, 0},
		"read slowly, 4 MB with a length": {func(conn net.Conn) { readAt(conn, 800_000) }, 4 << 20, false, 0},
		"read slowly, written in pieces":  {func(conn net.Conn) { readAt(conn, 100_000) }, 737_552, true, 16 << 10},
		"passed on late, never answered":  {func(conn net.Conn) { readAt(conn, 2_000_000) }, 4 << 20, true, 0},
		"read whole, but never answered":  {func(conn net.Conn) { io.Copy(io.Discard, conn) }, 737_552, true, 0}, //nolint:errcheck // as above
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, address := launchSmall(t, scripted.Line("e1", serveSmallBuffers(t, c.serve)))
			caller := scripted.Connect(t, address)
			var due time.Time
			var mu sync.Mutex
			go func() {
				writeBody(caller, c.size, c.chunked, c.piece)
				mu.Lock()
				defer mu.Unlock()
				due = time.Now().Add(wait) // its time counts from its last byte
			}()
			status, _ := caller.ReadAnswer()
			ended := time.Now()
			mu.Lock()
			defer mu.Unlock()
			if status == 0 || status == 200 {
				t.Errorf("status %d, want a refusal or failure", status)
			}
			if due.IsZero() {
				t.Fatal("answered before its caller had written it: the case shows nothing")
			}
			if late := ended.Sub(due); late > mostLate {
				t.Errorf("answered %v after its time, %v are allowed", late, mostLate)
			}
		})
	}
}

// writeBody writes a keyed request that waits for a second.
func writeBody(conn io.Writer, size int, chunked bool, piece int) {
	framing, body := fmt.Sprintf("Content-Length: %d", size), strings.Repeat("b", size)
	if chunked {
		framing, body = "Transfer-Encoding: chunked", chunkOf(size)+"0\r\n\r\n"
	}
	text := strings.Replace(postHead(framing), "X-Remaining: 1.5", "X-Remaining: 1", 1) + body
	if piece == 0 {
		piece = len(text)
	}
	for begin := 0; begin < len(text); begin += piece {
		if begin > 0 {
			time.Sleep(20 * time.Millisecond)
		}
		if _, err := io.WriteString(conn, text[begin:min(len(text), begin+piece)]); err != nil {
			return
		}
	}
}

// Guards against the time of a request that ends before its caller has written its body: while the sidecar waits for its caller, a
// large body may take many times the request's time.
func TestLargeBodyThatIsWrittenSlowlyIsServed(t *testing.T) {
	address := serveHTTP(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprint(w, n)
	}))
	_, listen := launchSmall(t, scripted.Line("e1", address))
	for _, chunked := range []bool{true, false} {
		caller := scripted.Connect(t, listen)
		const size, piece = 1 << 20, 8 << 10 // 128 pieces, at least 20 ms between two: 2.5 s or more
		go writeBody(caller, size, chunked, piece)
		if status, body := caller.ReadAnswer(); status != 200 || body != fmt.Sprint(size) {
			t.Errorf("chunked %v: %d %q, want 200 and %d", chunked, status, body, size)
		}
	}
}

// Guards against report 4bbe03: a long answer is cut off at its request's deadline while its endpoint still writes it slowly.
func TestLongAnswerThatIsWrittenSlowlyIsNotCutOff(t *testing.T) {
	const pieces, piece, pause = 24, 4 << 10, 100 * time.Millisecond // 96 KiB in 2.4 s; the request waits 1 s
	for name, chunked := range map[string]bool{"chunked": true, "up to the connection's end": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := scripted.ServeConns(t, func(conn *net.TCPConn) {
				go func() {
					defer conn.Close()
					if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
						return
					}
					head, text := "Connection: close\r\n\r\n", strings.Repeat("a", piece)
					if chunked {
						head, text = "Transfer-Encoding: chunked\r\n\r\n", chunkOf(piece)
					}
					io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+head) //nolint:errcheck // the next write shows it
					for range pieces {
						if _, err := io.WriteString(conn, text); err != nil {
							return
						}
						time.Sleep(pause)
					}
					if chunked {
						io.WriteString(conn, "0\r\n\r\n") //nolint:errcheck // the caller's side shows it
					}
				}()
			})
			_, listen := launchSmall(t, scripted.Line("e1", address))
			caller := scripted.Connect(t, listen)
			caller.Send(strings.Replace(requestText("/look", ""), "X-Remaining: 1.9", "X-Remaining: 1", 1))
			if status, body := caller.ReadAnswer(); status != 200 || len(body) != pieces*piece {
				t.Errorf("status %d, %d bytes; want 200 and %d", status, len(body), pieces*piece)
			}
		})
	}
}

// Guards against long answers that fail because slow readers of others hold the memory for answers.
func TestLongAnswersBesideSlowReaders(t *testing.T) {
	const size, asked = 1 << 20, 20
	var lines []map[string]any
	for i := range 8 { // one endpoint alone would not be sent so much
		lines = append(lines, scripted.Line(fmt.Sprint("e", i), startMemoryEndpoint(t)))
	}
	p, listen := launchSmall(t, lines...)
	for range 200 {
		conn, err := net.Dial("tcp", listen)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		go readsSlowly(conn.(*net.TCPConn))
	}
	time.Sleep(time.Second) // the readers have their answers' beginnings
	for range asked {
		status, body, err := trySend(request(t, listen, http.MethodGet, "/look/mb", ""))
		if status != 200 || len(body) != size || err != nil {
			t.Errorf("status %d, %d bytes, %v; want 200 and %d", status, len(body), err, size)
		}
	}
	if kb := peakMemory(t, p.Process.Pid); kb > leastMemoryMB<<10 {
		t.Errorf("peak memory %d kB, the limit is %d kB", kb, leastMemoryMB<<10)
	}
}

// Guards against an answer without a length that never ends: past its request's time it goes on only while its endpoint keeps writing,
// and not with a few bytes now and then.
func TestAnswerWithoutALengthEndsWhenItsEndpointStalls(t *testing.T) {
	const deadline = 600 * time.Millisecond
	for name, c := range map[string]struct {
		first int // bytes that come at once
		drips bool
	}{"much, then nothing": {40 << 10, false}, "some bytes now and then": {100, true}} {
		t.Run(name, func(t *testing.T) {
			endpoint := scripted.Listen(t)
			conf := scripted.SidecarConfig(scripted.StartDiscovery(t), scripted.Line("e1", endpoint.Address))
			setDeadlines(conf, scripted.Millis(deadline))
			s := start(t, conf)
			caller := scripted.Connect(t, s.Address())
			begin := time.Now()
			caller.Send(requestText("/look", ""))
			attempt := endpoint.Accept()
			attempt.ReadRequest()
			attempt.Send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + strings.Repeat("x", c.first))
			for ended := false; c.drips && !ended; time.Sleep(50 * time.Millisecond) {
				_, err := io.WriteString(attempt, "xx")
				ended = err != nil || time.Since(begin) > patience/2
			}
			status, body := caller.ReadAnswer()
			if took := time.Since(begin); status != 0 || len(body) < c.first || took > deadline+mostLate {
				t.Errorf("status %d, %d bytes after %v; want the beginning, broken off within %v", status, len(body), took, deadline+mostLate)
			}
		})
	}
}

// Guards against a request that its endpoint gets long after its caller has the answer: what the kernel has not sent yet of an attempt
// that is given up must not be sent.
func TestAttemptThatIsGivenUpIsNotSentOn(t *testing.T) {
	const size = 1 << 20 // more than the endpoint's buffer takes, less than the sidecar's
	proceed, whole := make(chan struct{}), make(chan bool, 1)
	address := serveSmallBuffers(t, func(conn net.Conn) {
		<-proceed
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			whole <- false
			return
		}
		n, err := io.Copy(io.Discard, r.Body)
		whole <- err == nil && n == size
	})
	_, listen := launchSmall(t, scripted.Line("e1", address))
	caller := scripted.Connect(t, listen)
	writeBody(caller, size, false, 0)
	if status, _ := caller.ReadAnswer(); status == 0 || status == 200 {
		t.Errorf("status %d, want a refusal or failure", status)
	}
	close(proceed)
	if <-whole {
		t.Error("the whole request came to the endpoint after its caller had the answer")
	}
}
