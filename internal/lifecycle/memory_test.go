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
	"testing"
	"time"

	"heathgap/internal/lab/scripted"
)

// The least memory, in MB, and the most descriptors that the pages name.
const (
	leastMemoryMB   = 32
	mostDescriptors = 1024
)

// crowdSize is how many clients of a crowd are connected at a time: more than there are descriptors for.
const crowdSize = 700

// badClient does one thing on a new connection and returns when it is done with it.
type badClient func(conn *net.TCPConn)

// waitForEnd reads what comes until the connection ends.
func waitForEnd(conn *net.TCPConn) { io.Copy(io.Discard, conn) } //nolint:errcheck // only its end counts

// writesThenWaits returns a client that writes a text in one go and waits for the end.
func writesThenWaits(text func() string) badClient {
	return func(conn *net.TCPConn) {
		io.WriteString(conn, text()) //nolint:errcheck // it may be rejected
		waitForEnd(conn)
	}
}

// postHead returns the head of a keyed request with a body of the given framing.
func postHead(framing string) string {
	id := newID()
	return "POST /pay HTTP/1.1\r\nHost: x\r\nX-Txn: " + id + "\r\nX-Org: acme\r\nX-Remaining: 1.5\r\nIdempotency-Key: " + id + "\r\n" + framing + "\r\n\r\n"
}

// chunkOf returns a body of one chunk, without the last one.
func chunkOf(size int) string {
	return fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("c", size))
}

// manyFields returns a head with as many fields as fit into the largest head.
func manyFields(path string) string {
	head := "GET " + path + " HTTP/1.1\r\nHost: x\r\nX-Txn: " + newID() + "\r\nX-Remaining: 1.5\r\n"
	const field = "a:\r\n"
	return head + strings.Repeat(field, (8<<10-len(head)-2)/len(field)) + "\r\n"
}

// readsSlowly returns a client that asks for a long answer and reads it at a few kB a second.
func readsSlowly(conn *net.TCPConn) {
	conn.SetReadBuffer(4 << 10) //nolint:errcheck // the system's default would only hide some of it
	io.WriteString(conn, strings.Replace(requestText("/look/long", ""), "X-Remaining", "X-Org: acme\r\nX-Remaining", 1))
	piece := make([]byte, 512)
	for {
		if _, err := conn.Read(piece); err != nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// asksInTurn is a client that sends small requests of every class one after the other, as fast as they are answered, each with an id of its
// own.
func asksInTurn(conn *net.TCPConn) {
	answers := bufio.NewReader(conn)
	for i := 0; ; i++ {
		text := strings.Replace(requestText("/look", ""), "X-Remaining", "X-Org: acme\r\nX-Remaining", 1)
		if i%2 == 1 {
			text = postHead("Content-Length: 0")
		}
		io.WriteString(conn, text) //nolint:errcheck // its answer shows it
		answer, err := http.ReadResponse(answers, nil)
		if err != nil {
			return
		}
		io.Copy(io.Discard, answer.Body) //nolint:errcheck // as above
	}
}

// crowds are the clients that hold memory, by what they do.
var crowds = map[string][]badClient{
	"idle": {waitForEnd},
	"half of a short body": {writesThenWaits(func() string {
		return postHead("Content-Length: 65000") + strings.Repeat("b", 60_000)
	})},
	"half of a large body": {writesThenWaits(func() string {
		return postHead("Content-Length: 1000000") + strings.Repeat("b", 500_000)
	})},
	"half of a chunked body": {writesThenWaits(func() string {
		return postHead("Transfer-Encoding: chunked") + chunkOf(300_000)
	})},
	"whole short bodies": {writesThenWaits(func() string {
		return postHead("Content-Length: 65000") + strings.Repeat("b", 65_000)
	})},
	"many fields":          {writesThenWaits(func() string { return manyFields("/look") })},
	"many fields, unsound": {writesThenWaits(func() string { return manyFields("/nothing") })},
	"many fields, slow":    {writesThenWaits(func() string { return manyFields("/look/slow") })},
	"as many fields as may be, slow": {writesThenWaits(func() string {
		const lines = 96
		return "GET /look/slow HTTP/1.1\r\nHost: x\r\nX-Txn: " + newID() + "\r\nX-Remaining: 1.5\r\n" +
			strings.Repeat("abcdefghijklmnopqrst: "+strings.Repeat("v", 50)+"\r\n", lines) + "\r\n"
	})},
	"heads that do not end": {writesThenWaits(func() string { return strings.TrimSuffix(manyFields("/look"), "\r\n") })},
	"long answers":          {readsSlowly},
	"long answers, read at once": {writesThenWaits(func() string {
		return strings.Replace(requestText("/look/mb", ""), "X-Remaining", "Connection: close\r\nX-Org: acme\r\nX-Remaining", 1)
	})},
	"small requests in turn": {asksInTurn},
	"all of them": {
		waitForEnd, readsSlowly,
		writesThenWaits(func() string { return postHead("Content-Length: 65000") + strings.Repeat("b", 60_000) }),
		writesThenWaits(func() string { return postHead("Transfer-Encoding: chunked") + chunkOf(300_000) }),
		writesThenWaits(func() string { return manyFields("/look/slow") }),
	},
}

// startBadCrowd keeps crowdSize clients connected until the returned function is called.
func startBadCrowd(address string, clients []badClient) (stop func()) {
	return startCrowdOf(address, crowdSize, clients)
}

// startCrowdOf keeps so many clients connected until the returned function is called.
func startCrowdOf(address string, size int, clients []badClient) (stop func()) {
	ended := make(chan struct{})
	var wait sync.WaitGroup
	for i := range size {
		wait.Go(func() {
			for {
				select {
				case <-ended:
					return
				default:
				}
				conn, err := net.DialTimeout("tcp", address, time.Second)
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				done := make(chan struct{})
				go func() {
					select {
					case <-ended:
					case <-done:
					}
					conn.Close()
				}()
				conn.SetWriteDeadline(time.Now().Add(patience)) //nolint:errcheck // its write shows it
				clients[i%len(clients)](conn.(*net.TCPConn))
				close(done)
			}
		})
	}
	return func() { close(ended); wait.Wait() }
}

// startMemoryEndpoint starts an endpoint that answers paths that end in "long" with 8 MB, more than the kernel's buffers
// take, those that end in "mb" with 1 MB, and those that end in "slow" after a second. Of bodies it reads 70 KiB at most.
func startMemoryEndpoint(t *testing.T) string {
	t.Helper()
	megabyte := patternBody(1 << 20)
	long := bytes.Repeat(megabyte, 8)
	return scripted.ServeConns(t, func(conn *net.TCPConn) {
		conn.SetReadBuffer(16 << 10) //nolint:errcheck // as above
		go func() {
			defer conn.Close()
			reader := bufio.NewReader(conn)
			for {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				if n, _ := io.CopyN(io.Discard, r.Body, 70<<10); n == 70<<10 {
					time.Sleep(patience)
					return
				}
				body := []byte("fine")
				switch {
				case strings.HasSuffix(r.URL.Path, "long"):
					body = long
				case strings.HasSuffix(r.URL.Path, "mb"):
					body = megabyte
				case strings.HasSuffix(r.URL.Path, "slow"):
					time.Sleep(time.Second)
				}
				if _, err := io.Copy(conn, io.MultiReader(strings.NewReader(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))), bytes.NewReader(body))); err != nil {
					return
				}
			}
		}()
	})
}

// Guards against report 4bbe03: a process that passes its memory limit while hundreds of clients hold half requests, large heads
// or long answers.
func TestMemoryStaysWithinTheLimit(t *testing.T) {
	const during = 3 * time.Second
	for name, clients := range crowds {
		t.Run(name, func(t *testing.T) {
			conf := scripted.SidecarConfig(scripted.StartDiscovery(t), scripted.Line("e1", startMemoryEndpoint(t)), scripted.Line("e2", startMemoryEndpoint(t)))
			conf["limits"] = map[string]any{"cores": 1.0, "memory_mb": leastMemoryMB, "sockets": mostDescriptors}
			p, address := launchServing(t, conf)
			before := peakMemory(t, p.Process.Pid)
			stop := startBadCrowd(address, clients)
			time.Sleep(during)
			kb := peakMemory(t, p.Process.Pid)
			t.Logf("peak memory %d kB, %d kB before the crowd", kb, before)
			if kb > leastMemoryMB<<10 {
				t.Errorf("peak memory %d kB, the limit is %d kB", kb, leastMemoryMB<<10)
			}
			stop()
			eventually(t, "usual callers are served afterwards", func() bool {
				status, _, err := trySend(request(t, address, http.MethodGet, "/look", ""))
				return err == nil && status == 200
			})
		})
	}
}
