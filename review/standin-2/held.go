package main

import (
	"fmt"
	"time"
)

// heldTable is the table of copied holdings for orders.
const heldTable = "[holdings]\ncopies = 2\nkeep = \"2m\"\n[[holdings.class]]\nname = \"order\"\n"

// heldCrew starts a crew of three that holds orders, and waits until orders are served through each of them.
func heldCrew(r *run, s *service, window int) []*process {
	var known []listed
	for i := range 3 {
		known = append(known, s.endpoint(fmt.Sprintf("e-%d", i+1), string(rune('a'+i)), i))
	}
	procs := r.crew([]string{"k1", "k2", "k3"}, []class{{"order", "by_key", window}}, newDiscovery(r, known).address, known, heldTable)
	for i, p := range procs {
		served := 0
		for try := 0; served < 4; try++ {
			if try > 60 {
				r.fail("orders through %s are not served", p.name)
			}
			if r.order(p, "order", fmt.Sprintf("warm-%d-%d", i, try), time.Second).status == 200 {
				served++
			} else {
				time.Sleep(250 * time.Millisecond)
			}
		}
	}
	time.Sleep(time.Second)
	return procs
}

func init() { cases["7"] = droppedAfterReclaim }

// droppedAfterReclaim: the answer to an order is lost, its first repeat is turned away by all endpoints, and the second repeat comes when
// endpoints have forgotten the key.
func droppedAfterReclaim(r *run) bool {
	const window = 4 * time.Second
	s := newService(r, window+500*time.Millisecond)
	procs := heldCrew(r, s, int(window.Milliseconds()))
	const orders = 6
	key := func(i int) string { return fmt.Sprintf("order-%d", i) }
	told := map[string]string{}
	each := func(what string, by int) {
		r.note("-- %s", what)
		for i := range orders {
			if a := r.order(procs[(i+by)%3], "order", key(i), time.Second); a.status == 200 {
				told[key(i)] = a.body
			}
		}
	}
	if r.trouble {
		s.set(func(string, request) int { return runReset })
	}
	first := time.Now()
	each("first tries", 0)
	if r.trouble {
		s.set(func(string, request) int { return turnAway })
	}
	each("first repeats", 1)
	s.set(nil)
	time.Sleep(time.Until(first.Add(window + 2*time.Second)))
	each("second repeats, 6 s after the first tries: endpoints drop repeats for 4.5 s", 2)
	return moreThanOnce(r, s, orders, key)
}

// moreThanOnce reports whether any of the keys had more than one effect.
func moreThanOnce(r *run, s *service, n int, key func(int) string) (broken bool) {
	for i := range n {
		if effects := s.effectsOf(key(i)); effects > 1 {
			r.note("key %s: %d effects", key(i), effects)
			broken = true
		}
	}
	return broken
}
