package record

import (
	"testing"

	"heathgap/internal/lab/oracle"
)

// Guards against a comparison that accepts wrong counters: a difference of one must be noticed. If
// a client left, the sidecar may have counted its request as left or as answered.
func TestCompare(t *testing.T) {
	tally := oracle.Tally{Requests: 10, Arrivals: 9, Runs: 8}
	tally.Answers[oracle.Served], tally.Answers[oracle.Refused], tally.Answers[oracle.Failed] = 7, 2, 1
	good := Counters{Taken: 9, TurnedAway: 1, Served: 7, Refused: 1, Failed: 1, Sent: 9, Attempts: map[string]int{"served": 7}}
	if faults := Compare("s", &good, &tally); len(faults) > 0 {
		t.Errorf("equal counts differ: %q", faults)
	}
	for name, change := range map[string]func(*Counters){
		"taken":   func(c *Counters) { c.Taken++ },
		"served":  func(c *Counters) { c.Served--; c.Failed++ },
		"refused": func(c *Counters) { c.TurnedAway--; c.Taken++ },
		"sent":    func(c *Counters) { c.Sent++ },
		"lost":    func(c *Counters) { c.Held++ },
		"runs":    func(c *Counters) { c.Attempts = map[string]int{"served": 9} },
	} {
		c := good
		change(&c)
		if len(Compare("s", &c, &tally)) == 0 {
			t.Errorf("%s: the difference was not noticed", name)
		}
	}
	left := tally
	left.Requests, left.ClientLeft = 11, 1
	for name, change := range map[string]func(*Counters){
		"left":     func(c *Counters) { c.Taken++; c.Left++ },
		"answered": func(c *Counters) { c.Taken++; c.Served++ },
	} {
		c := good
		change(&c)
		if faults := Compare("s", &c, &left); len(faults) > 0 {
			t.Errorf("a client that left, and the sidecar counted it as %s: %q", name, faults)
		}
	}
}
