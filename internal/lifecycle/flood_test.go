package lifecycle

import (
	"bufio"
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

// floodTexts are what a client writes without pause on one connection, by what it is: the text for each repetition.
var floodTexts = map[string]func(i int) string{
	"small requests": func(i int) string {
		return "GET /look HTTP/1.1\r\nHost: x\r\nX-Txn: flood" + fmt.Sprint(i) + "\r\nX-Org: acme\r\nX-Remaining: 1\r\n\r\n"
	},
	"small requests under ever new names": func(i int) string {
		return fmt.Sprintf("GET /look/%d?q=%d HTTP/1.1\r\nHost: h%d\r\nX-Txn: flood%d\r\nX-Org: org%d\r\nX-Labels: l%d=1\r\nX-F%d: 1\r\nX-Remaining: 1\r\n\r\n", i, i, i, i, i, i, i)
	},
	"small keyed requests": func(i int) string {
		return fmt.Sprintf("POST /pay HTTP/1.1\r\nHost: x\r\nX-Txn: flood%d\r\nX-Org: o%d\r\nX-Remaining: 1\r\nIdempotency-Key: k%d\r\nContent-Length: 1\r\n\r\nb", i, i, i)
	},
	"unknown classes": func(i int) string {
		return fmt.Sprintf("GET /c%d HTTP/1.1\r\nHost: x\r\nX-Txn: flood%d\r\nX-Remaining: 1\r\n\r\n", i, i)
	},
	"no time": func(i int) string {
		return fmt.Sprintf("GET /look HTTP/1.1\r\nHost: x\r\nX-Txn: flood%d\r\nX-Remaining: 0\r\n\r\n", i)
	},
	"readiness":        func(int) string { return "GET /up HTTP/1.1\r\nHost: x\r\n\r\n" },
	"empty lines":      func(int) string { return "\r\n" },
	"noise":            func(int) string { return "\x00\x01junk" },
	"fields":           func(i int) string { return fmt.Sprintf("x%d:\r\n", i) },
	"tiny chunks":      tinyChunks("/pay"),
	"tiny chunks, 404": tinyChunks("/nothing"),
	"expectations": func(i int) string {
		return fmt.Sprintf("POST /pay HTTP/1.1\r\nHost: x\r\nX-Txn: flood%d\r\nX-Remaining: 1\r\nIdempotency-Key: k%d\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nb", i, i)
	},
}

// tinyChunks returns a request whose body has chunks of one byte and does not end.
func tinyChunks(path string) func(int) string {
	return func(i int) string {
		if i == 0 {
			return strings.Replace(postHead("Transfer-Encoding: chunked"), "/pay", path, 1)
		}
		return "1\r\nb\r\n"
	}
}

// A sidecar has a part of a core: a quota of processor time in each period. LATER.md names parts, not the smallest one.
const (
	quotaPeriod = 100 * time.Millisecond
	quota       = quotaPeriod / 5
)

// limitProcessor gives a process its quota of processor time until the test ends: it is stopped for the rest of each period in
// which it has used that up, as the kernel does with a limited group of processes.
func limitProcessor(t *testing.T, pid int) {
	t.Helper()
	const look = time.Millisecond
	processorClock := int32(^pid)<<3 | 2 // clock_getcpuclockid(3)
	used := func() time.Duration {
		var ts unix.Timespec
		if err := unix.ClockGettime(processorClock, &ts); err != nil {
			return 0 // it has ended
		}
		return time.Duration(ts.Nano())
	}
	ended, done := make(chan struct{}), make(chan struct{})
	t.Cleanup(func() { close(ended); <-done })
	go func() {
		defer close(done)
		defer syscall.Kill(pid, syscall.SIGCONT) //nolint:errcheck // it may have ended
		began, before := time.Now(), used()
		for {
			select {
			case <-ended:
				return
			case <-time.After(look):
			}
			if used()-before >= quota {
				syscall.Kill(pid, syscall.SIGSTOP) //nolint:errcheck // as above
				time.Sleep(time.Until(began.Add(quotaPeriod)))
				syscall.Kill(pid, syscall.SIGCONT) //nolint:errcheck // as above
			}
			if time.Since(began) >= quotaPeriod {
				began, before = time.Now(), used()
			}
		}
	}()
}

// floodOnce writes a flood on one connection until it ends or the time is up, and reads all that comes.
func floodOnce(address string, text func(i int) string, first int, until time.Time, inTurn bool) (next int) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return first
	}
	defer conn.Close()
	conn.SetDeadline(until) //nolint:errcheck // its write shows it
	if inTurn {
		return floodInTurn(conn, text, first)
	}
	go waitForEnd(conn.(*net.TCPConn))
	const batch = 400
	for i := first; ; i += batch {
		var b strings.Builder
		for j := range batch {
			b.WriteString(text(i + j))
		}
		if _, err := io.WriteString(conn, b.String()); err != nil {
			return i + batch
		}
	}
}

// floodInTurn writes as many requests as a connection may bring ahead, reads their answers and goes on with the next ones.
func floodInTurn(conn net.Conn, text func(i int) string, first int) (next int) {
	const batch = 24
	reader := bufio.NewReader(conn)
	for i := first; ; i += batch {
		var b strings.Builder
		for j := range batch {
			b.WriteString(text(i + j))
		}
		if _, err := io.WriteString(conn, b.String()); err != nil {
			return i + batch
		}
		for range batch {
			answer, err := http.ReadResponse(reader, nil)
			if err != nil {
				return i + batch
			}
			if _, err := io.Copy(io.Discard, answer.Body); err != nil || answer.Close {
				return i + batch
			}
		}
	}
}

// Guards against other clients that get their answers late or never, and against memory that grows without end, while one client
// writes requests on one connection without pause (report 4bbe03). It connects again as soon as it is disconnected.
func TestFloodOnOneConnection(t *testing.T) {
	for name, text := range floodTexts {
		t.Run(name, func(t *testing.T) { playFlood(t, name, text, false) })
	}
	for _, name := range []string{"small keyed requests", "no time", "readiness"} {
		t.Run(name+", in turn", func(t *testing.T) { playFlood(t, name, floodTexts[name], true) })
	}
}

// Guards against other clients that are refused beside one that sends valid requests in turn as fast as it gets answers.
func TestFloodOfValidRequestsInTurn(t *testing.T) {
	for _, name := range []string{"small requests", "small requests under ever new names"} {
		t.Run(name, func(t *testing.T) { playFlood(t, name, floodTexts[name], true) })
	}
}

// playFlood plays a flood, in turn or without pause, beside usual clients, which all must be served in time.
func playFlood(t *testing.T, name string, text func(i int) string, inTurn bool) {
	const during, clients, wait = 2 * time.Second, 8, 400 * time.Millisecond // as short as requests of the report
	e := scripted.StartEndpoint(t, "e1", nil)
	p, address := launchSmall(t, e.Line())
	limitProcessor(t, p.Process.Pid)
	until := time.Now().Add(during)
	var running sync.WaitGroup
	var mu sync.Mutex
	var slowest time.Duration
	bad, served := map[string]int{}, 0
	running.Go(func() {
		for next := 0; time.Now().Before(until); {
			if next = floodOnce(address, text, next, until, inTurn); strings.HasPrefix(name, "tiny") {
				next = 0 // each connection begins with a head
			}
		}
	})
	for i := range clients {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: i%2 == 0}, Timeout: patience}
		running.Go(func() {
			for time.Now().Before(until) {
				r := request(t, address, http.MethodGet, "/look", "")
				r.Header.Set("X-Remaining", fmt.Sprint(wait.Seconds()))
				begin := time.Now()
				answer, err := client.Do(r)
				what := fmt.Sprint(err)
				if err == nil {
					_, err := io.Copy(io.Discard, answer.Body)
					answer.Body.Close()
					what = fmt.Sprint(answer.StatusCode, err)
				}
				took := time.Since(begin)
				mu.Lock()
				if slowest = max(slowest, took); what != "200 <nil>" {
					bad[what]++
				} else {
					served++
				}
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	running.Wait()
	kb := peakMemory(t, p.Process.Pid)
	t.Logf("%d served, the slowest after %v, others %v, peak memory %d kB", served, slowest, bad, kb)
	if slowest > wait || len(bad) > 0 {
		t.Errorf("the slowest answer after %v, its request waits %v; not served: %v", slowest, wait, bad)
	}
	if kb > leastMemoryMB<<10 {
		t.Errorf("peak memory %d kB, the limit is %d kB", kb, leastMemoryMB<<10)
	}
}

// Guards against a connection that takes all of the processor: beyond a burst its requests are read at a bounded rate.
func TestRequestsOfAConnectionArePaced(t *testing.T) {
	const requests, atLeast = 600, time.Second // 100 at once, 500 a second
	s := start(t, scripted.SidecarConfig(scripted.StartDiscovery(t)))
	caller := scripted.Connect(t, s.Address())
	begin := time.Now()
	go caller.Send(strings.Repeat("GET /up HTTP/1.1\r\nHost: x\r\n\r\n", requests))
	for i := range requests {
		if status, _ := caller.ReadAnswer(); status != 200 {
			t.Fatalf("answer %d: %d", i, status)
		}
	}
	if took := time.Since(begin); took < atLeast/2 { // the last ones come in one piece, which is not waited for
		t.Errorf("%d requests took %v", requests, took)
	}
}
