package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["10"] = banOverAnUpgrade }

// banOverAnUpgrade: an endpoint is taken out, put back and taken out again by hand; then the process is replaced.
func banOverAnUpgrade(r *run) bool {
	const grace = time.Second
	s := newService(r, time.Minute)
	s.work = 10 * time.Millisecond
	var known []listed
	for i := range 4 {
		known = append(known, s.endpoint(fmt.Sprintf("e-%d", i+1), "a", i))
	}
	set := settings("a", 0, 1, class{"look", "repeatable", 0})
	set["rules"].(map[string]any)["cold"] = 8000
	listen := r.freeAddress()
	conf := r.configure("n1", listen, set, newDiscovery(r, known).address, known)
	run := func(name string) (p *process, console string) {
		console = r.freeAddress()
		p = r.start(name, []string{"BALANCER_CONFIG=" + conf, "BALANCER_CONSOLE=" + console, "TMPDIR=" + r.dir})
		p.listen = listen
		for end := time.Now().Add(6 * time.Second); !strings.HasPrefix(r.call(console, "READY"), "200"); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				r.fail("%s is not ready within 6 s", name)
			}
		}
		return p, console
	}
	old, console := run("n1")
	var over atomic.Bool
	var clients sync.WaitGroup
	for range 8 {
		clients.Go(func() {
			for !over.Load() {
				r.look(old, "look", time.Second)
			}
		})
	}
	time.Sleep(2 * time.Second)
	var banned time.Time
	for _, line := range []string{"DISABLE e-1", "ENABLE e-1", "DISABLE e-1"} {
		answer := r.call(console, line)
		r.note("console: %s: %s", line, answer)
		if !strings.HasPrefix(answer, "200") {
			r.fail("the console says no")
		}
		banned = time.Now()
		time.Sleep(time.Second)
	}
	if r.trouble {
		r.note("the process is replaced")
		run("n1-next")
		r.note("the new process is ready; SIGTERM to the old one")
		old.signal(syscall.SIGTERM)
	}
	time.Sleep(8 * time.Second)
	over.Store(true)
	clients.Wait()
	late := 0
	for _, came := range s.requestsAt("e-1") {
		if came.After(banned.Add(grace)) {
			if late++; late <= 5 {
				r.note("endpoint e-1 got a request %.3f s after the ban", came.Sub(banned).Seconds())
			}
		}
	}
	r.note("e-1 got %d requests later than %v after the last DISABLE; there was no ENABLE since", late, grace)
	return late > 0
}

// call makes a call at a console and returns the first line of the answer.
func (r *run) call(console, line string) string {
	conn, err := net.DialTimeout("tcp", console, time.Second)
	if err != nil {
		return err.Error()
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second)) //nolint:errcheck // a failure shows with the read
	io.WriteString(conn, line+"\n")               //nolint:errcheck // the same
	text, _ := io.ReadAll(conn)
	first, _, _ := strings.Cut(string(text), "\n")
	return first
}
