package httpwire

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

// idleCounts returns how many buffers of each size are idle, from the smallest on.
func idleCounts() (counts [len(bodyBufferSizes)]int) {
	bodyBuffers.mu.Lock()
	defer bodyBuffers.mu.Unlock()
	for class, idle := range bodyBuffers.bySize {
		counts[class] = len(idle)
	}
	return counts
}

// dropIdle drops all idle buffers.
func dropIdle() {
	bodyBuffers.mu.Lock()
	defer bodyBuffers.mu.Unlock()
	bodyBuffers.bySize = [len(bodyBufferSizes)][][]byte{}
}

// serveBody serves a request whose body comes from a connection that ends behind it.
func serveBody(t *testing.T, memory *MemoryBudget, framing, wire string, handle func(*RequestBody, error)) {
	t.Helper()
	callers, _ := testCallers(t)
	callers.SetBodyMemory(memory)
	server := &fasthttp.Server{
		StreamRequestBody: true, ReadBufferSize: MaxHead, MaxRequestBodySize: MaxBody, Logger: discardLogger{},
		Handler: func(ctx *fasthttp.RequestCtx) { handle(ReadBody(ctx, ctx.Conn().(*CallerConn))) },
	}
	ours, theirs := net.Pipe()
	go io.Copy(io.Discard, ours) //nolint:errcheck // the answer
	go func() {
		fmt.Fprintf(ours, "POST /a HTTP/1.1\r\nHost: x\r\n%s\r\n\r\n%s", framing, wire) //nolint:errcheck // it may not be read whole
		ours.Close()
	}()
	server.ServeConn(&CallerConn{Conn: theirs, owner: callers}) //nolint:errcheck // the caller breaks off
}

// Guards against buffers of bodies that are lost to the next ones, however a body ends: the second of two bodies uses those of the first.
func TestEndedBodyReleasesItsBuffers(t *testing.T) {
	long := strings.Repeat("b", 2*MaxBuffered)
	for name, c := range map[string]struct {
		memory  int64
		framing string
		wire    string
		handle  func(*RequestBody, error)
		want    [len(bodyBufferSizes)]int
	}{
		"dropped": {MaxBody, "Content-Length: 1000000", long, func(body *RequestBody, _ error) { body.Upload.Discard() }, [...]int{1, 1, 1, 1, 1}},
		"sent": {MaxBody, "Content-Length: 1000000", long, func(body *RequestBody, _ error) {
			if body.Upload.Claim() {
				body.Upload.ReleaseBeginning()
			}
			body.Upload.Discard()
		}, [...]int{1, 1, 1, 1, 1}},
		"broken off": {MaxBody, "Content-Length: 60000", long[:20_000], func(_ *RequestBody, err error) {
			if err == nil {
				t.Error("a body that is broken off is whole")
			}
		}, [...]int{1, 1, 1, 1, 0}},
		"no memory": {2 * initialBodySize, "Content-Length: 60000", long[:60_000], func(_ *RequestBody, err error) {
			if err != ErrNoBodyMemory {
				t.Errorf("%v, want %v", err, ErrNoBodyMemory)
			}
		}, [...]int{1, 1, 0, 0, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			dropIdle()
			for range 2 {
				serveBody(t, NewMemoryBudget(c.memory), c.framing, c.wire, c.handle)
			}
			if got := idleCounts(); got != c.want {
				t.Errorf("idle buffers %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a buffer for each connection that is read out before its close.
func TestLingeringConnectionReleasesItsBuffer(t *testing.T) {
	callers, _ := testCallers(t)
	dropIdle()
	for range 2 {
		conn, client := connectIdle(t, callers)
		closed := make(chan struct{})
		go func() {
			conn.Close()
			close(closed)
		}()
		io.Copy(io.Discard, client) //nolint:errcheck // only the end counts
		client.Close()
		<-closed
	}
	if got, want := idleCounts(), [...]int{1, 0, 0, 0, 0}; got != want {
		t.Errorf("idle buffers %v, want %v", got, want)
	}
}

// Guards against a crowd whose buffers stay: of each size no more than the bound is kept.
func TestIdleBuffersAreBounded(t *testing.T) {
	dropIdle()
	for _, size := range bodyBufferSizes {
		for range 2 * maxIdlePerSize / size {
			bodyBuffers.release(make([]byte, size))
		}
	}
	for class, idle := range idleCounts() {
		if size := bodyBufferSizes[class]; idle*size > maxIdlePerSize || idle == 0 {
			t.Errorf("%d buffers of %d bytes are idle, allowed are %d bytes", idle, size, maxIdlePerSize)
		}
	}
	bodyBuffers.release(make([]byte, 100)) // its size is none of those that are kept
	if b := bodyBuffers.take(100); cap(b) != 100 || len(b) != 0 {
		t.Errorf("%d of %d bytes, want 0 of 100", len(b), cap(b))
	}
}
