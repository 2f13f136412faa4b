package lifecycle

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"heathgap/internal/lab/scripted"
)

// textUnder returns a request of a class under an id.
func textUnder(class, id string) string {
	head := "Host: x\r\nX-Txn: " + id + "\r\nX-Org: acme\r\nX-Remaining: 1.9\r\n"
	switch class {
	case "look":
		return "GET /look HTTP/1.1\r\n" + head + "\r\n"
	case "pay":
		head += "Idempotency-Key: key-" + id + "\r\n"
	}
	return "POST /" + class + " HTTP/1.1\r\n" + head + "Content-Length: 0\r\n\r\n"
}

// sendOnNew sends a text on a connection of its own and returns the status of the answer.
func sendOnNew(t *testing.T, address, text string) (status int) {
	t.Helper()
	caller := scripted.Connect(t, address)
	defer caller.Close()
	caller.Send(text)
	status, _ = caller.ReadAnswer()
	return status
}

// holdingEndpoint starts an endpoint that takes the first request of an id and answers it when that is released. It answers all others.
func holdingEndpoint(t *testing.T, id string, release <-chan struct{}) *scripted.Endpoint {
	t.Helper()
	var held atomic.Bool
	return scripted.StartEndpoint(t, "e1", func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Txn") == id && !held.Swap(true) {
			<-release
		}
		fmt.Fprint(w, "e1")
	})
}

// Guards against report 620a8b: a request under the id of another one is answered as served, whatever its class. In the report the other
// one's endpoint takes nothing, and its client leaves after 0.4 s.
func TestUsedIDIsNotServed(t *testing.T) {
	for _, class := range []string{"look", "pay", "burn"} {
		for _, former := range []string{"open", "caller_left", "answered"} {
			t.Run(class+" "+former, func(t *testing.T) { playUsedID(t, class, class, former) })
		}
	}
}

// Guards against an id that counts as new because it comes again with another class.
func TestUsedIDIsNotServedInAnotherClass(t *testing.T) {
	for _, former := range []string{"open", "caller_left", "answered"} {
		t.Run("look pay "+former, func(t *testing.T) { playUsedID(t, "look", "pay", former) })
		t.Run("burn look "+former, func(t *testing.T) { playUsedID(t, "burn", "look", former) })
	}
}

// playUsedID sends a request of a class, and when that is in the former state another one of a class under the same id.
func playUsedID(t *testing.T, class, again, former string) {
	id, release := newID(), make(chan struct{})
	e := holdingEndpoint(t, id, release)
	conf := scripted.SidecarConfig(scripted.StartDiscovery(t), e.Line())
	p, address := launchServing(t, conf)
	first := scripted.Connect(t, address)
	first.Send(textUnder(class, id))
	eventually(t, "it is sent", func() bool { return e.Count() == 1 })
	switch former {
	case "answered":
		close(release)
		if status, _ := first.ReadAnswer(); status != 200 {
			t.Fatalf("the first: %d", status)
		}
	case "caller_left":
		defer close(release)
		first.Close()
		eventually(t, "the close is seen", func() bool { return strings.Contains(p.log.String(), `"end":"caller_left"`) })
	default:
		defer close(release)
	}
	if status := sendOnNew(t, address, textUnder(again, id)); status != 400 || e.Count() != 1 {
		t.Errorf("the second: %d; the endpoint got %d requests, want 400 and 1", status, e.Count())
	}
	eventually(t, "the log tells of both", func() bool {
		log := p.log.String()
		return strings.Contains(log, `"id used again"`) && strings.Contains(log, `"former":"`+former+`"`)
	})
}

// Guards against report 620a8b, picture a: an id of a class that is safe to repeat is served again by the other process of an upgrade.
func TestUsedIDIsNotServedByTheOtherProcess(t *testing.T) {
	for name, newFirst := range map[string]bool{"old": false, "new": true} { // short names: they stand in the path of a Unix socket
		for end, answered := range map[string]bool{"left": false, "had": true} {
			t.Run(name+" "+end, func(t *testing.T) { playUsedIDOverUpgrade(t, newFirst, answered) })
		}
	}
}

// playUsedIDOverUpgrade sends a request through one process of an upgrade, and under the same id through the other one.
func playUsedIDOverUpgrade(t *testing.T, newFirst, answered bool) {
	id, release := newID(), make(chan struct{})
	e := holdingEndpoint(t, id, release)
	conf, address := upgradeConfig(t, scripted.StartDiscovery(t), e.Line())
	old, _ := launchReady(t, conf)
	text := textUnder("look", id)
	const begun = 10 // bytes of it that the old process has before the upgrade: each later answer ends its connection
	onOld, idle := scripted.Connect(t, address), scripted.Connect(t, address)
	onOld.Send(textUnder("look", newID()))
	onOld.ReadAnswer()
	idle.Send(text[:begun])
	first, second := onOld, idle
	if !newFirst {
		first.Send(text)
		eventually(t, "it is sent", func() bool { return e.Count() == 2 })
	}
	next, _ := launchReady(t, conf)
	eventually(t, "the old process knows of the new one", func() bool { return strings.Contains(old.log.String(), `"a successor serves"`) })
	onNew := scripted.Connect(t, address)
	log := old.log // of the process that has the first request
	if newFirst {
		first, log = onNew, next.log
		first.Send(text)
		eventually(t, "it is sent", func() bool { return e.Count() == 2 })
	}
	if answered {
		close(release)
		if status, _ := first.ReadAnswer(); status != 200 {
			t.Fatalf("the first: %d", status)
		}
	} else {
		defer close(release)
		first.Close()
		eventually(t, "the close is seen", func() bool { return strings.Contains(log.String(), `"end":"caller_left"`) })
	}
	again := text[begun:]
	if !newFirst {
		second, again = onNew, text
	}
	second.Send(again)
	if status, _ := second.ReadAnswer(); status != 400 || e.Count() != 2 {
		t.Errorf("the second: %d; the endpoint got it %d times, want 400 and once", status, e.Count()-1)
	}
}

// Guards against ids that are pushed out of the memory by many others while their attempts are out: one client must not make the id of
// another one's request new.
func TestManyIDsDoNotMakeOneNewWhoseAttemptIsOut(t *testing.T) {
	const many = 30000 // more than are remembered
	for _, class := range []string{"look", "burn"} {
		t.Run(class, func(t *testing.T) {
			id, release := newID(), make(chan struct{})
			defer close(release)
			e := holdingEndpoint(t, id, release)
			conf := scripted.SidecarConfig(scripted.StartDiscovery(t), e.Line())
			conf["settings"].(map[string]any)["bounds"].(map[string]any)["cancel"] = false
			s := start(t, conf)
			first := scripted.Connect(t, s.Address())
			first.Send(textUnder(class, id))
			eventually(t, "it is sent", func() bool { return e.Count() == 1 })
			first.Close()
			eventually(t, "the close is seen", func() bool { return s.Counters().Left == 1 })
			for hash := range uint64(many) {
				s.engine.RememberID(hash+1, class == "look")
			}
			if status := sendOnNew(t, s.Address(), textUnder(class, id)); status != 400 || e.Count() != 1 {
				t.Errorf("the second: %d; the endpoint got %d requests, want 400 and 1", status, e.Count())
			}
		})
	}
}

// Guards against report 620a8b, picture a: a client writes much behind its request and closes its connection while the sidecar is held
// up, and the request is sent on although the close is longer ago than the pages allow.
func TestRequestIsNotSentBehindACloseThatStandsUnread(t *testing.T) {
	const behind = 700 << 10 // more than the sidecar's side of the kernel takes, less than counts as a flood
	for name, text := range map[string]string{
		"requests": strings.Repeat(textUnder("look", newID()), 2), "bodies": strings.Repeat("x", 100), "empty lines": "\r\n\r\n",
	} {
		for _, class := range []string{"look", "pay", "burn"} {
			t.Run(class+", "+name, func(t *testing.T) {
				e := scripted.StartEndpoint(t, "e1", nil)
				conf := scripted.SidecarConfig(scripted.StartDiscovery(t), e.Line())
				p, address := launchServing(t, conf)
				caller := scripted.Connect(t, address)
				caller.Send(textUnder("look", newID()))
				caller.ReadAnswer() // its connection is one that the sidecar reads
				hold(t, p)
				id := newID()
				caller.Send(textUnder(class, id) + strings.Repeat(text, behind/len(text)))
				caller.Close()
				time.Sleep(leftSlackWait)
				p.Process.Signal(syscall.SIGCONT) //nolint:errcheck // it lives
				eventually(t, "its connection has ended", func() bool { return strings.Contains(p.log.String(), `"last":"`+id+`"`) })
				if n := e.Count(); n != 1 {
					t.Errorf("%d requests came to the endpoint over %v after their client had closed the connection", n-1, leftSlackWait)
				}
			})
		}
	}
}

// hold stops a process until it gets SIGCONT, and returns when it stands still.
func hold(t *testing.T, p *process) {
	t.Helper()
	p.Process.Signal(syscall.SIGSTOP) //nolint:errcheck // it lives
	t.Cleanup(func() { p.Process.Signal(syscall.SIGCONT) })
	eventually(t, "it stands still", func() bool { return stateOf(t, p.Process.Pid) == "T" })
}

// stateOf returns the state of a process, a letter as in /proc/PID/stat.
func stateOf(t *testing.T, pid int) string {
	t.Helper()
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		t.Fatal(err)
	}
	_, behindName, _ := strings.Cut(string(text), ") ")
	return behindName[:1]
}
