package lifecycle

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"

	"heathgap/internal/httpwire"
	"heathgap/internal/lab/scripted"
)

// bodyOf returns a body that consists of one byte, which its request names in its path.
func bodyOf(b byte, size int) []byte { return bytes.Repeat([]byte{b}, size) }

// startComparingEndpoint starts an endpoint that looks for bytes in bodies that are not those of their request, which it counts. It
// ends each seventh connection in the middle of a body.
func startComparingEndpoint(t *testing.T, whole, mixed *atomic.Int64) string {
	var connections atomic.Int64
	return scripted.ServeConns(t, func(conn *net.TCPConn) {
		breakOff := connections.Add(1)%7 == 0
		go func() {
			defer conn.Close()
			for in := bufio.NewReader(conn); ; {
				r, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				if breakOff {
					io.CopyN(io.Discard, r.Body, httpwire.MaxBuffered) //nolint:errcheck // it is broken off anyway
					return
				}
				want, _ := strconv.ParseUint(r.URL.Query().Get("byte"), 10, 8)
				body, err := io.ReadAll(r.Body)
				if len(bytes.Trim(body, string([]byte{byte(want)}))) > 0 {
					mixed.Add(1)
				}
				if err != nil {
					return
				}
				whole.Add(1)
				io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") //nolint:errcheck // its caller shows it
			}
		}()
	})
}

// Guards against bodies that share a buffer: many at a time, short and long, some of which their callers or endpoints break off.
func TestBodiesAreNotMixed(t *testing.T) {
	const clients, requests = 24, 60
	var whole, mixed atomic.Int64
	s := start(t, scripted.SidecarConfig(scripted.StartDiscovery(t),
		scripted.Line("e1", startComparingEndpoint(t, &whole, &mixed)), scripted.Line("e2", startComparingEndpoint(t, &whole, &mixed))))
	eventually(t, "ready", isReady(t, s.Address()))
	sizes := []int{5_000, 60_000, 70_000, 200_000}
	var wait sync.WaitGroup
	for client := range clients {
		wait.Go(func() {
			for i := range requests {
				b, size := byte('!'+client), sizes[(client+i)%len(sizes)]
				chunked, breakOff := i%2 == 0, i%5 == 4
				sendBodyOf(s.Address(), b, size, chunked, breakOff)
			}
		})
	}
	wait.Wait()
	t.Logf("%d bodies came whole", whole.Load())
	if mixed.Load() > 0 || whole.Load() < clients*requests/2 {
		t.Errorf("%d bodies have bytes of others, %d of %d came whole", mixed.Load(), whole.Load(), clients*requests)
	}
}

// sendBodyOf sends a request on a connection of its own and reads its answer, or breaks off in the middle of the body.
func sendBodyOf(address string, b byte, size int, chunked, breakOff bool) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	id, body := newID(), bodyOf(b, size)
	framing, before, after := fmt.Sprint("Content-Length: ", size), "", ""
	if chunked {
		framing, before, after = "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n", size), "\r\n0\r\n\r\n"
	}
	if breakOff {
		body, after = body[:size/2], ""
	}
	head := fmt.Sprintf("POST /pay?byte=%d HTTP/1.1\r\nHost: x\r\nX-Txn: %s\r\nX-Org: acme\r\nX-Remaining: 5\r\nIdempotency-Key: %s\r\nConnection: close\r\n%s\r\n\r\n%s",
		b, id, id, framing, before)
	io.WriteString(conn, head)         //nolint:errcheck // the end shows it
	conn.Write(append(body, after...)) //nolint:errcheck // as above
	if !breakOff {
		io.Copy(io.Discard, conn) //nolint:errcheck // as above
	}
}
