package lifecycle

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"heathgap/decide"
	"heathgap/internal/lab/scripted"
)

// leftSlackWait is more than an attempt may begin after its client has left (0.1 s, STANDING.md).
const leftSlackWait = 3 * leftSlack

// burnText returns a request of the class that may run only once.
func burnText(id, framing string) string {
	return "POST /burn HTTP/1.1\r\nHost: x\r\nX-Txn: " + id + "\r\nX-Org: acme\r\nX-Remaining: 1.9\r\n" + framing + "\r\n\r\n"
}

// Guards against report 4bbe03: a client writes a large body and more requests behind it, closes its connection, and its request is
// sent on afterwards, since the close stands behind bytes that nobody has read yet.
func TestCloseBehindUnreadBytesIsSeen(t *testing.T) {
	const body, behind = 3 << 20, 1 << 20 // together more than the sidecar's side of the kernel takes, not more than the client's does
	proceed, whole := make(chan struct{}), make(chan bool, 1)
	address := serveSmallBuffers(t, func(conn net.Conn) {
		defer conn.Close()
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		<-proceed
		n, err := io.Copy(io.Discard, r.Body)
		whole <- err == nil && n == body
	})
	_, listen := launchSmall(t, scripted.Line("e1", address))
	caller := scripted.Connect(t, listen)
	text := burnText(newID(), fmt.Sprintf("Content-Length: %d", body)) + strings.Repeat("b", body)
	for len(text) < body+behind {
		text += strings.Repeat(burnText(newID(), "Content-Length: 0"), 100)
	}
	caller.Send(text)
	caller.Close()
	time.Sleep(leftSlackWait)
	close(proceed)
	if <-whole {
		t.Errorf("the whole request came to the endpoint over %v after its client had closed the connection", leftSlackWait)
	}
}

// Guards against requests behind the first one that are sent after their client has closed its connection.
func TestRequestsWrittenAheadEndWithTheirConnection(t *testing.T) {
	release := make(chan struct{})
	e := scripted.StartEndpoint(t, "e1", func(w http.ResponseWriter, r *http.Request) { <-release })
	s := start(t, scripted.SidecarConfig(scripted.StartDiscovery(t), e.Line()))
	caller := scripted.Connect(t, s.Address())
	text := ""
	for range 50 {
		text += burnText(newID(), "Content-Length: 0")
	}
	caller.Send(text)
	eventually(t, "the first is sent", func() bool { return e.Count() == 1 })
	caller.Close()
	time.Sleep(leftSlackWait)
	close(release)
	eventually(t, "its connection has ended", func() bool { return s.callers.Open() == 0 })
	if n := e.Count(); n != 1 {
		t.Errorf("%d requests came to the endpoint, want the first one alone", n)
	}
}

// Guards against report 4bbe03: an id that comes again after its client has left, or has its answer, runs a second time.
func TestIDThatComesAgainRunsOnce(t *testing.T) {
	for name, answered := range map[string]bool{"its client has left": false, "it has its answer": true} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			e := scripted.StartEndpoint(t, "e1", func(w http.ResponseWriter, r *http.Request) { <-release })
			s := start(t, scripted.SidecarConfig(scripted.StartDiscovery(t), e.Line()))
			id := newID()
			first := scripted.Connect(t, s.Address())
			first.Send(burnText(id, "Content-Length: 0"))
			eventually(t, "it is sent", func() bool { return e.Count() == 1 })
			if answered {
				close(release)
				if status, _ := first.ReadAnswer(); status != 200 {
					t.Fatalf("the first: %d", status)
				}
			} else {
				defer close(release)
				first.Close()
				eventually(t, "the close is seen", func() bool { return s.Counters().Left == 1 })
			}
			second := scripted.Connect(t, s.Address())
			second.Send(burnText(id, "Content-Length: 0"))
			if status, _ := second.ReadAnswer(); status != 400 || e.Count() != 1 {
				t.Errorf("the second: %d; the endpoint got %d requests, want 400 and 1", status, e.Count())
			}
		})
	}
}

// Guards against report 620a8b: an id counts as new since nothing of its request was sent. The request was read, so its caller has no reason
// to send it once more.
func TestIDOfARequestThatNeverRanIsUsed(t *testing.T) {
	for _, class := range []string{"look", "burn"} {
		t.Run(class, func(t *testing.T) {
			e := scripted.StartEndpoint(t, "e1", nil)
			d := scripted.StartDiscovery(t)
			s := start(t, scripted.SidecarConfig(d)) // there is no endpoint yet
			id := newID()
			if status := sendOnNew(t, s.Address(), strings.Replace(textUnder(class, id), "1.9", "0.05", 1)); status != 503 {
				t.Fatalf("the first: %d, want a refusal", status)
			}
			d.Publish(t, 2, e.Line())
			eventually(t, "the endpoint is listed", func() bool { return s.Counters().Endpoints == 1 })
			if status := sendOnNew(t, s.Address(), textUnder(class, id)); status != 400 || e.Count() != 0 {
				t.Errorf("the second: %d; the endpoint got %d requests, want 400 and none", status, e.Count())
			}
			if status := sendOnNew(t, s.Address(), textUnder(class, newID())); status != 200 {
				t.Errorf("under a new id: %d", status)
			}
		})
	}
}

// Guards against an id that counts as new since the endpoint of its request has turned that away unseen before its client left.
func TestIDOfARequestThatWasTurnedAwayIsUsed(t *testing.T) {
	away := scripted.StartEndpoint(t, "e1", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Turned-Away", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	d := scripted.StartDiscovery(t)
	s := start(t, scripted.SidecarConfig(d, away.Line()))
	id := newID()
	first := scripted.Connect(t, s.Address())
	first.Send(textUnder("burn", id))
	eventually(t, "it is turned away", func() bool { return s.Counters().Outcomes[decide.Rejected] > 0 })
	first.Close()
	eventually(t, "it has ended", func() bool { return s.Counters().Pending == 0 })
	e := scripted.StartEndpoint(t, "e2", nil)
	d.Publish(t, 2, e.Line())
	eventually(t, "the other endpoint is listed", func() bool { return s.Counters().ListVersion == 2 })
	if status := sendOnNew(t, s.Address(), textUnder("burn", id)); status != 400 || e.Count() != 0 {
		t.Errorf("the second: %d; the endpoint got %d requests, want 400 and none", status, e.Count())
	}
}

// Guards against report 4bbe03: an id that was sent by one process of an upgrade runs again through the other one.
func TestIDRunsOnceInBothProcesses(t *testing.T) {
	for first, newFirst := range map[string]bool{"old": false, "new": true} { // short names: they stand in the path of a Unix socket
		for end, answered := range map[string]bool{"left": false, "had": true} {
			t.Run(first+" "+end, func(t *testing.T) {
				release := make(chan struct{})
				e := scripted.StartEndpoint(t, "e1", func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path == "/burn" {
						<-release
					}
				})
				conf, address := upgradeConfig(t, scripted.StartDiscovery(t), e.Line())
				old, _ := launchReady(t, conf)
				onOld := scripted.Connect(t, address)
				onOld.Send(requestText("/look", ""))
				onOld.ReadAnswer()
				id := newID()
				first, second := onOld, (*scripted.Peer)(nil)
				send := func() {
					before := e.Count()
					first.Send(burnText(id, "Content-Length: 0"))
					eventually(t, "it is sent", func() bool { return e.Count() == before+1 })
				}
				if !newFirst {
					send()
				}
				text := burnText(id, "Content-Length: 0")
				const begun = 10 // bytes of it that the old process has before the upgrade: each later answer ends its connection
				idle := scripted.Connect(t, address)
				idle.Send(text[:begun])
				launchReady(t, conf)
				eventually(t, "the old process knows of the new one", func() bool { return strings.Contains(old.log.String(), `"a successor serves"`) })
				second = scripted.Connect(t, address)
				if newFirst {
					first, second = second, idle
					send()
				}
				if answered {
					close(release)
					if status, _ := first.ReadAnswer(); status != 200 {
						t.Fatalf("the first: %d", status)
					}
				} else {
					defer close(release)
					first.Close()
					time.Sleep(leftSlackWait) // the close is seen: nothing outside tells when
				}
				before := e.Count()
				if newFirst {
					text = text[begun:]
				}
				second.Send(text)
				status, _ := second.ReadAnswer()
				if status != 400 || e.Count() != before {
					t.Errorf("the second: %d, want 400; %d requests came to the endpoint again", status, e.Count()-before)
				}
			})
		}
	}
}

// Guards against an id that is forgotten with the process that took it: its successor must know it when that has ended.
func TestIDIsKnownBehindAnUpgrade(t *testing.T) {
	for _, class := range []string{"burn", "look"} {
		t.Run(class, func(t *testing.T) {
			e := scripted.StartEndpoint(t, "e1", nil)
			conf, address := upgradeConfig(t, scripted.StartDiscovery(t), e.Line())
			old, _ := launchReady(t, conf)
			id := newID()
			if status := sendOnNew(t, address, textUnder(class, id)); status != 200 {
				t.Fatalf("the first: %d", status)
			}
			next, _ := launchReady(t, conf)
			old.Process.Kill() //nolint:errcheck // it lives
			old.Wait()         //nolint:errcheck // it was killed
			eventually(t, "the successor knows that it has ended", func() bool { return strings.Contains(next.log.String(), "the predecessor has ended") })
			if status := sendOnNew(t, address, textUnder(class, id)); status != 400 || e.Count() != 1 {
				t.Errorf("the second: %d; the endpoint got %d requests, want 400 and 1", status, e.Count())
			}
		})
	}
}

// Guards against an id that is forgotten because it came with another class: a request of a class that is safe to repeat, rejected
// before anything of it was sent, must not make the id of one that has run new again.
func TestIDIsNotForgottenByAnotherClass(t *testing.T) {
	e := scripted.StartEndpoint(t, "e1", nil)
	s := start(t, scripted.SidecarConfig(scripted.StartDiscovery(t), e.Line()))
	id := newID()
	send := func(text string) (status int) {
		caller := scripted.Connect(t, s.Address())
		caller.Send(text)
		status, _ = caller.ReadAnswer()
		return status
	}
	if status := send(burnText(id, "Content-Length: 0")); status != 200 {
		t.Fatalf("the first: %d", status)
	}
	if status := send("GET /look HTTP/1.1\r\nHost: x\r\nX-Txn: " + id + "\r\nX-Remaining: 0\r\n\r\n"); status != 400 {
		t.Fatalf("the one of the other class: %d, want 400", status)
	}
	if status := send(burnText(id, "Content-Length: 0")); status != 400 || e.Count() != 1 {
		t.Errorf("the id again: %d; the endpoint got %d requests, want 400 and 1", status, e.Count())
	}
}
