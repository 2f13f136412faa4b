package lifecycle

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"heathgap/internal/httpwire"
	"heathgap/internal/lab/scripted"
)

// allocatedPerRequest returns how many bytes are allocated for each of many requests that come one after the other, each on a connection
// of its own. Both sides count, since both are in this process.
func allocatedPerRequest(t *testing.T, address string, text func() [][]byte) uint64 {
	t.Helper()
	const warmUp, requests = 20, 200
	var before, after runtime.MemStats
	for i := range warmUp + requests {
		if i == warmUp {
			runtime.ReadMemStats(&before)
		}
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		for _, part := range text() {
			if _, err := conn.Write(part); err != nil {
				t.Fatal(err)
			}
		}
		if n, err := io.Copy(io.Discard, conn); n == 0 {
			t.Fatalf("no answer: %v", err)
		}
		conn.Close()
	}
	runtime.ReadMemStats(&after)
	return (after.TotalAlloc - before.TotalAlloc) / requests
}

// startDiscardingEndpoint starts an endpoint that reads one request from each connection, drops its body and answers.
func startDiscardingEndpoint(t *testing.T) string {
	return scripted.ServeConns(t, func(conn *net.TCPConn) {
		go func() {
			defer conn.Close()
			r, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			io.Copy(io.Discard, r.Body)                                                               //nolint:errcheck // its caller shows it
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n") //nolint:errcheck // as above
		}()
	})
}

// Guards against report 620a8b's landing: a process that passes its memory limit by the buffers of bodies that are dropped as fast as they
// come.
func TestDroppedBodiesLeaveLittleGarbage(t *testing.T) {
	const most = httpwire.MaxBuffered / 2           // half of what a body may take
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // as in a process of its own
	large := []byte(strings.Repeat("b", 3*httpwire.MaxBuffered))
	chunk := []byte(chunkOf(3 * httpwire.MaxBuffered))
	lastChunk := []byte("0\r\n\r\n")
	head := func(framing string) []byte { return []byte(postHead(framing)) }
	withoutTime := func(framing string) []byte {
		return []byte(strings.Replace(postHead(framing), "X-Remaining: 1.5", "X-Remaining: 0", 1))
	}
	endpoint := scripted.Line("e1", startDiscardingEndpoint(t))
	for name, text := range map[string]func() [][]byte{
		"refused, half of a large body":   func() [][]byte { return [][]byte{withoutTime("Content-Length: 1000000"), large} },
		"refused, half of a chunked body": func() [][]byte { return [][]byte{withoutTime("Transfer-Encoding: chunked"), chunk} },
		"sent, in chunks": func() [][]byte {
			return [][]byte{head("Connection: close\r\nTransfer-Encoding: chunked"), chunk, lastChunk}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := start(t, scripted.SidecarConfig(scripted.StartDiscovery(t), endpoint))
			eventually(t, "ready", isReady(t, s.Address()))
			if bytes := allocatedPerRequest(t, s.Address(), text); bytes > most {
				t.Errorf("%d bytes are allocated for a request, allowed are %d", bytes, most)
			} else {
				t.Logf("%d bytes are allocated for a request", bytes)
			}
		})
	}
}
