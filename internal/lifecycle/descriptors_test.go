package lifecycle

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"heathgap/internal/lab/scripted"
)

// openDescriptors returns the number of descriptors that a process holds.
func openDescriptors(t *testing.T, pid int) int {
	t.Helper()
	open, err := os.ReadDir("/proc/" + strconv.Itoa(pid) + "/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(open)
}

// startCrowd connects the given number of silent callers. Each connects again as soon as it is disconnected, until the
// test ends.
func startCrowd(t *testing.T, address string, callers int) {
	ended := make(chan struct{})
	var wait sync.WaitGroup
	t.Cleanup(func() { close(ended); wait.Wait() })
	for range callers {
		wait.Go(func() {
			for {
				conn, err := net.Dial("tcp", address)
				if err == nil {
					gone := make(chan struct{})
					go func() {
						select {
						case <-ended:
							conn.Close()
						case <-gone:
						}
					}()
					io.Copy(io.Discard, conn) //nolint:errcheck // it may be reset
					close(gone)
					conn.Close()
				}
				select {
				case <-ended:
					return
				default:
				}
			}
		})
	}
}

// Guards against idle callers that take the descriptors needed for discovery, endpoints and the console. Idle callers
// take all connections that they can get while discovery is down, and connect again as soon as they are disconnected.
// Meanwhile the console answers and usual callers are served, on open and on new connections; when discovery is back,
// its list is used within 6 s. The limit of descriptors is the configured one, or far lower.
func TestDescriptorsAreKeptFromCallers(t *testing.T) {
	const (
		descriptors = 96
		idle        = 250
		maxDelay    = 6 * time.Second
	)
	for name, sockets := range map[string]int{"as configured": descriptors, "fewer than configured": 1024} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			older, newer := scripted.StartEndpoint(t, "older", nil), scripted.StartEndpoint(t, "newer", nil)
			address, console := scripted.FreeAddress(t), scripted.FreeAddress(t)
			d := &scripted.Discovery{Address: scripted.FreeAddress(t)} // nothing listens there yet
			conf := scripted.SidecarConfig(d, older.Line())
			conf["listen"], conf["console"] = address, console
			conf["limits"].(map[string]any)["sockets"] = sockets
			conf["settings"].(map[string]any)["membership_mode"] = "automatic"
			p := launchLimited(t, conf, descriptors)
			eventually(t, "READY", func() bool { return saysReady(console) })
			before := scripted.Connect(t, address)
			served := func(by *scripted.Peer) string {
				by.Send(requestText("/look", ""))
				if status, body := by.ReadAnswer(); status == 200 {
					return body
				}
				return "nobody"
			}
			if got := served(before); got != "older" {
				t.Fatalf("before: answered by %s", got)
			}
			base := openDescriptors(t, p.Process.Pid)
			startCrowd(t, address, idle)
			eventually(t, "callers have all descriptors that they can get", func() bool {
				return openDescriptors(t, p.Process.Pid) >= base+descriptors*2/5
			})
			for range 20 { // discovery is called again and again meanwhile, and operators call the console
				if got := served(before); got != "older" {
					t.Fatalf("in the crowd: answered by %s", got)
				}
				if got := callConsole(t, console, "READY"); got != "200 ready\n" {
					t.Errorf("READY in the crowd: %q", got)
				}
			}
			list := scripted.NewDiscovery()
			list.Publish(t, 7, newer.Line())
			listener, err := net.Listen("tcp", d.Address)
			if err != nil {
				t.Fatal(err)
			}
			server := &http.Server{Handler: list}
			t.Cleanup(func() { server.Close() })
			begin := time.Now()
			go server.Serve(listener) //nolint:errcheck // it ends with Close
			for got := ""; got != "newer"; got = served(before) {
				if time.Since(begin) > maxDelay {
					t.Fatalf("discovery is back, but its list is not used after %v:\n%s", maxDelay, lastLines(p.log))
				}
			}
			if got := served(scripted.Connect(t, address)); got != "newer" {
				t.Errorf("a new caller in the crowd: answered by %s", got)
			}
			if got := callConsole(t, console, "READY"); got != "200 ready\n" {
				t.Errorf("READY afterwards: %q", got)
			}
			if n := openDescriptors(t, p.Process.Pid); n >= descriptors {
				t.Errorf("it holds %d descriptors of %d", n, descriptors)
			}
			if log := p.log.String(); strings.Contains(log, "too many open files") {
				t.Errorf("the process ran out of descriptors:\n%s", lastLines(p.log))
			}
		})
	}
}

// lastLines returns the end of a log.
func lastLines(l *logBuffer) string {
	const maxBytes = 2000
	text := l.String()
	return text[max(0, len(text)-maxBytes):]
}

// Guards against invalid requests that are forwarded, or answered with anything but 400, because idle callers hold all
// connections: each gets 400 and a close, or only a close.
func TestBadInputInACrowd(t *testing.T) {
	e := scripted.StartEndpoint(t, "e1", nil)
	conf := scripted.SidecarConfig(scripted.StartDiscovery(t), e.Line())
	conf["limits"].(map[string]any)["sockets"] = 64
	s := start(t, conf)
	startCrowd(t, s.Address(), 100)
	eventually(t, "all connections are taken", func() bool { return s.callers.Open() >= s.conf.CallerConns })
	const head = "Host: x\r\nX-Txn: 1\r\nX-Remaining: 1\r\n"
	var wait sync.WaitGroup
	for _, text := range []string{
		"nonsense\r\n\r\n", "GET /nothing HTTP/1.1\r\n" + head + "Connection: close\r\n\r\n", "GET /look HTTP/1.1\r\nX-Txn: ",
		"POST /pay HTTP/1.1\r\n" + head + "Idempotency-Key: k\r\nContent-Length: 70\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
			"GET /look/hidden HTTP/1.1\r\n" + head + "\r\n",
		"POST /burn HTTP/1.1\r\n" + head + "Content-Length: 90000\r\n\r\nx", strings.Repeat("\x00\x01junk", 2000),
	} {
		for range 4 {
			wait.Go(func() {
				conn, err := net.Dial("tcp", s.Address())
				if err != nil {
					t.Error(err)
					return
				}
				defer conn.Close()
				conn.SetDeadline(time.Now().Add(patience))
				io.WriteString(conn, text) //nolint:errcheck // it may be closed already
				answer, err := io.ReadAll(conn)
				if len(answer) > 0 && !strings.HasPrefix(string(answer), "HTTP/1.1 400 ") {
					t.Errorf("%.40q is answered %q", text, answer)
				}
				if errors.Is(err, os.ErrDeadlineExceeded) {
					t.Errorf("%.40q: no close", text)
				}
			})
		}
	}
	wait.Wait()
	if n := e.Count(); n != 0 {
		t.Errorf("%d invalid requests were forwarded", n)
	}
}
