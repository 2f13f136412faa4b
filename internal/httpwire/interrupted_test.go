package httpwire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httputil"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"heathgap/internal/env"
)

// framedBody is a body as it stands on the wire, behind its head.
type framedBody struct {
	head, wire, body string
	open             func(r *bufio.Reader) io.Reader
}

// framedBodies returns a body in each framing, with all that may stand in it.
func framedBodies() map[string]framedBody {
	const ok = "HTTP/1.1 200 OK\r\n"
	chunked := func(wire, body string) framedBody {
		return framedBody{ok + "Transfer-Encoding: chunked\r\n\r\n", wire, body, func(r *bufio.Reader) io.Reader { return &chunkedBody{r: r} }}
	}
	return map[string]framedBody{
		"chunk":              chunked("5\r\nhello\r\n0\r\n\r\n", "hello"),
		"chunks":             chunked("2;ext=\"1\"\r\nhe\r\n001\r\nl\r\n2\r\n\r\n\r\n0\r\n\r\n", "hel\r\n"),
		"trailer":            chunked("5\r\nhello\r\n0;last\r\nX-Sum: 1\r\nX-Other: 0\r\n\r\n", "hello"),
		"bare line ends":     chunked("5\nhello\n0\nX-Sum: 1\n\n", "hello"),
		"length":             {ok + "Content-Length: 5\r\n\r\n", "hello", "hello", func(r *bufio.Reader) io.Reader { return &fixedLengthBody{r: r, remaining: 5} }},
		"to the end":         {ok + "Connection: close\r\n\r\n", "hello", "hello", func(r *bufio.Reader) io.Reader { return r }},
		"to the end, longer": {ok + "Connection: close\r\n\r\n", "hello\r\n0\r\n\r\n", "hello\r\n0\r\n\r\n", func(r *bufio.Reader) io.Reader { return r }},
	}
}

// interruptedReader reads pieces. Between two of them a read fails once with an exceeded deadline.
type interruptedReader struct {
	pieces    []string
	interrupt func() // called before such a read fails; nil for nothing
	behind    int    // bytes of the first piece that were read
}

// Read implements io.Reader.
func (r *interruptedReader) Read(b []byte) (int, error) {
	if len(r.pieces) == 0 {
		return 0, io.EOF
	}
	if left := r.pieces[0][r.behind:]; left != "" {
		n := copy(b, left)
		r.behind += n
		return n, nil
	}
	r.pieces, r.behind = r.pieces[1:], 0
	if len(r.pieces) == 0 {
		return 0, io.EOF
	}
	if r.interrupt != nil {
		r.interrupt()
	}
	return 0, os.ErrDeadlineExceeded
}

// interruptedConn is a connection to an endpoint whose bytes come from an interruptedReader.
type interruptedConn struct {
	*net.TCPConn
	reader *interruptedReader
}

// Read implements net.Conn.
func (c *interruptedConn) Read(b []byte) (int, error) { return c.reader.Read(b) }

// splits returns the ways to interrupt a text that a test tries: at each place once, and at all places.
func splits(text string) [][]string {
	var all [][]string
	for i := range len(text) + 1 {
		all = append(all, []string{text[:i], text[i:]})
	}
	return append(all, strings.Split(text, ""))
}

// Guards against an answer that is broken off though all of it comes: wherever a read of a body is interrupted, the next one goes on
// from there, to the same bytes and the same end.
func TestInterruptedBodyKeepsItsPlace(t *testing.T) {
	const next = "HTTP/1.1 200 OK\r\n"
	for name, framed := range framedBodies() {
		wire := framed.wire
		if !strings.HasPrefix(name, "to the end") {
			wire += next // what follows on the connection is no part of the body
		}
		for _, pieces := range splits(wire) {
			in := bufio.NewReader(&interruptedReader{pieces: pieces})
			body := framed.open(in)
			var got []byte
			var err error
			for buf := make([]byte, 3); err == nil || errors.Is(err, os.ErrDeadlineExceeded); {
				var n int
				n, err = body.Read(buf)
				got = append(got, buf[:n]...)
			}
			if err != io.EOF || string(got) != framed.body {
				t.Errorf("%s in %q: %q, %v; want %q", name, pieces, got, err, framed.body)
			}
		}
	}
}

// interruptedAnswer receives an answer whose bytes come in pieces, from an endpoint's connection that is interrupted between them.
func interruptedAnswer(t *testing.T, reader *interruptedReader) (Reply, *interruptedConn, error) {
	t.Helper()
	link, endpoint := linkPair(t)
	t.Cleanup(func() { endpoint.Close() })
	conn := &interruptedConn{link.conn.(*net.TCPConn), reader}
	link.conn, link.in = conn, bufio.NewReaderSize(&stickyErrReader{Reader: conn}, MaxHead)
	link.deadline = time.Now().Add(time.Minute)
	reply, err := link.Receive(NewMemoryBudget(1<<20), env.Real{})
	return reply, conn, err
}

// Guards against an answer that is broken off though all of it comes in time: its beginning is passed on when a read of it is
// interrupted (beginningTime), at whatever byte.
func TestBeginningOfAnAnswerEndsAnywhere(t *testing.T) {
	for name, framed := range framedBodies() {
		if name == "length" {
			continue // it is never passed on before it is whole
		}
		for i := firstBodyByte(framed); i <= len(framed.wire); i++ {
			reader := &interruptedReader{pieces: []string{framed.head + framed.wire[:i], framed.wire[i:]}}
			reply, _, err := interruptedAnswer(t, reader)
			got := bytes.NewBuffer(reply.Body)
			if err == nil && reply.Stream != nil {
				_, err = reply.Stream.WriteTo(got)
			}
			if err != nil || got.String() != framed.body {
				t.Errorf("%s, interrupted at %d: %q, %v; want %q", name, i, got, err, framed.body)
			}
		}
	}
}

// firstBodyByte returns the position behind the first byte of the body itself.
func firstBodyByte(framed framedBody) int {
	return strings.IndexByte(framed.wire, framed.body[0]) + 1
}

// Guards against an answer that an upgrade breaks off: it is handed over to another process at whatever byte, and that goes on from there.
func TestAnswerIsHandedOverAnywhere(t *testing.T) {
	for name, framed := range framedBodies() {
		if name == "length" {
			continue // one of that length is never handed over
		}
		for i := firstBodyByte(framed); i <= len(framed.wire); i++ {
			got, err := handOverAt(t, framed, i)
			if err != nil || got != framed.body {
				t.Errorf("%s, handed over at %d: %q, %v; want %q", name, i, got, err, framed.body)
			}
		}
	}
}

// handOverAt plays an answer whose beginning ends behind its first byte, and which is handed over when i bytes of its body have come.
// It returns what both processes have passed on.
func handOverAt(t *testing.T, framed framedBody, i int) (got string, err error) {
	t.Helper()
	first := firstBodyByte(framed)
	reader := &interruptedReader{pieces: []string{framed.head + framed.wire[:first], framed.wire[first:i], framed.wire[i:]}}
	reply, endpoint, err := interruptedAnswer(t, reader)
	if err != nil {
		return "", err
	}
	caller, client := acceptPeer(t)
	reply.Stream.SetConn(caller)
	handedOver := false
	reader.interrupt = func() {
		if handedOver {
			return
		}
		handedOver = true
		reply.Stream.HandOver(func(state []byte, callerConn, _ syscall.Conn) error {
			var handover AnswerHandover
			if err := json.Unmarshal(state, &handover); err != nil {
				return err
			}
			if end := ResumeAnswer(&handover, callerConn.(net.Conn), endpoint, env.Real{}); end != AnswerComplete {
				return fmt.Errorf("the other process ended with %d", end)
			}
			return nil
		})
	}
	var before bytes.Buffer
	if _, err := reply.Stream.WriteTo(&before); !errors.Is(err, errHandedOver) {
		return before.String(), err
	}
	after, err := io.ReadAll(httputil.NewChunkedReader(client))
	return before.String() + string(after), err
}

// Guards against a request that is lost or changed though all of it comes: its body comes a byte at a time, and the next request of its
// connection behind it.
func TestRequestComesByteByByte(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", MaxBuffered/16+1)
	for name, c := range map[string]struct{ framing, wire, body string }{
		"length":        {"Content-Length: 5", "hello", "hello"},
		"chunks":        {"Transfer-Encoding: chunked", "2;ext=1\r\nhe\r\n003\r\nllo\r\n0\r\n\r\n", "hello"},
		"trailer":       {"Transfer-Encoding: chunked", "5\r\nhello\r\n0;last\r\nX-Sum: 1\r\nX-Other: 0\r\n\r\n", "hello"},
		"long, length":  {fmt.Sprint("Content-Length: ", len(long)), long, long},
		"long, trailer": {"Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n0\r\nX-Sum: 1\r\n\r\n", len(long), long), long},
	} {
		callers, _ := testCallers(t)
		bodies := make(chan string, 2)
		server := &fasthttp.Server{
			StreamRequestBody: true, ReadBufferSize: MaxHead, MaxRequestBodySize: MaxBody, Logger: discardLogger{},
			Handler: func(ctx *fasthttp.RequestCtx) { bodies <- readWhole(ctx) },
		}
		ours, theirs := net.Pipe() // a write returns when it is read: each byte is a piece of its own
		conn := &CallerConn{Conn: theirs, owner: callers}
		served := make(chan error, 1)
		go func() { served <- server.ServeConn(conn) }()
		go io.Copy(io.Discard, ours) //nolint:errcheck // the answers
		text := fmt.Sprintf("POST /a HTTP/1.1\r\nHost: x\r\n%s\r\n\r\n%sPOST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nnext", c.framing, c.wire)
		for i := range len(text) {
			if _, err := io.WriteString(ours, text[i:i+1]); err != nil {
				t.Fatalf("%s: byte %d: %v", name, i, err)
			}
		}
		if first, second := <-bodies, <-bodies; first != c.body || second != "next" {
			t.Errorf("%s: %d bytes %.40q and %q, want %d bytes and \"next\"", name, len(first), first, second, len(c.body))
		}
		ours.Close()
		<-served
	}
}

// readWhole returns the body of a request, however long it is, and what went wrong with it.
func readWhole(ctx *fasthttp.RequestCtx) string {
	body, err := ReadBody(ctx, ctx.Conn().(*CallerConn))
	switch {
	case err != nil:
		return err.Error()
	case body.Upload == nil:
		return string(body.Bytes)
	}
	rest, err := io.ReadAll(body.Upload)
	if err != nil {
		return err.Error()
	}
	return string(body.Upload.Beginning()) + string(rest)
}

type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
