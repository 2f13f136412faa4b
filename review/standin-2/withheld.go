package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["10"] = withheldDrain }

// withheldDrain: while a majority of the keepers is away, a new endpoint comes and begins to drain. Then the keepers are back.
func withheldDrain(r *run) bool {
	const grace = time.Second
	s := newService(r, time.Minute)
	s.work = 20 * time.Millisecond
	var known []listed
	for i := range 3 {
		known = append(known, s.endpoint(fmt.Sprintf("e-%d", i+1), "a", i))
	}
	drains := s.endpoint("e-9", "a", 9)
	d := newDiscovery(r, known)
	procs := r.crew([]string{"k1", "k2", "k3", "m1"}, []class{{"look", "repeatable", 0}}, d.address, known, "")
	m1 := procs[3]
	r.awaitLease(m1, false)
	time.Sleep(time.Second)
	ask := func(d time.Duration) {
		var served atomic.Int64
		var done sync.WaitGroup
		end := time.Now().Add(d)
		for range 8 {
			done.Go(func() {
				for time.Now().Before(end) {
					if r.look(m1, "look", time.Second).status == 200 {
						served.Add(1)
					}
				}
			})
		}
		done.Wait()
		r.note("8 clients: %d requests served through m1", served.Load())
	}
	ask(time.Second)
	if r.trouble {
		procs[0].signal(syscall.SIGSTOP)
		procs[1].signal(syscall.SIGSTOP)
		r.note("k1 and k2, a majority of the keepers, are stopped")
		r.awaitLease(m1, true)
	}
	d.set(append(append([]listed(nil), known...), drains))
	ask(2 * time.Second)
	index := d.set(known)
	r.note("e-9 drains from now on: list %d leaves it out", index)
	ask(3 * time.Second)
	at, ok := d.toldAll(index, 4-map[bool]int{true: 2}[r.trouble])
	if !ok {
		r.fail("not all sidecars have got list %d", index)
	}
	if r.trouble {
		procs[0].signal(syscall.SIGCONT)
		procs[1].signal(syscall.SIGCONT)
		r.note("k1 and k2 go on")
		r.awaitLease(m1, false)
	}
	ask(5 * time.Second)
	before, late := 0, 0
	for _, came := range s.requestsAt("e-9") {
		if came.After(at.Add(grace)) {
			late++
		} else {
			before++
		}
	}
	r.note("e-9 got %d requests up to %v after it was told to drain, %d later", before, grace, late)
	if !r.trouble && before == 0 {
		r.fail("e-9 was never used")
	}
	return late > 0
}
