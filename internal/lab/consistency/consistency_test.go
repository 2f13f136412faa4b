package consistency

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// Each violation is reported under its rule, and a similar case that is allowed is not reported.
func TestViolations(t *testing.T) {
	conf := Conf{MaxContradiction: 100 * ms, Margin: 10 * ms}
	reportAll := func(c *Checker, name string, s StatusReport) { // the same report every 20 ms for a second, as from a poll
		for at := time.Duration(0); at <= time.Second; at += 20 * ms {
			s.At = at
			c.RecordStatus(name, s)
		}
	}
	resend := func(at time.Duration) Action { return Action{At: at, Process: "a", Resend: true, What: "resend"} }
	for name, test := range map[string]struct {
		record func(c *Checker)
		want   string
	}{
		"nothing forbidden": {func(c *Checker) {
			reportAll(c, "b", StatusReport{})
			c.RecordAction(resend(500 * ms))
		}, ""},
		"forbidden for a short time": {func(c *Checker) {
			reportAll(c, "b", StatusReport{Active: 1})
			c.RecordAction(resend(90 * ms))
		}, ""},
		"forbidden for too long": {func(c *Checker) {
			reportAll(c, "b", StatusReport{Active: 1})
			c.RecordAction(resend(500 * ms))
		}, Contradicts},
		"forbidden by the next version": {func(c *Checker) {
			reportAll(c, "b", StatusReport{Next: 1})
			c.RecordAction(resend(500 * ms))
		}, Contradicts},
		"a cautious member guarantees nothing to others": {func(c *Checker) {
			reportAll(c, "b", StatusReport{Active: 1, Cautious: true})
			c.RecordAction(resend(500 * ms))
		}, ""},
		"a start ends the reports before it": {func(c *Checker) {
			reportAll(c, "b", StatusReport{Active: 1})
			c.RecordStart(470*ms, "b")
			c.RecordAction(resend(500 * ms))
		}, ""},
		"banned": {func(c *Checker) {
			reportAll(c, "b", StatusReport{Active: 1})
			c.RecordAction(Action{At: 500 * ms, Process: "a", Endpoint: "e"})
		}, Contradicts},
		"allowed a moment ago": {func(c *Checker) {
			reportAll(c, "b", StatusReport{Active: 1, Next: 2})
			for at := time.Duration(0); at <= time.Second; at += 20 * ms {
				s := StatusReport{At: at, Active: 1}
				if at >= 450*ms {
					s.Active = 2
				}
				c.RecordStatus("a", s)
			}
			c.RecordAction(resend(500 * ms))
		}, ""},
		"allowed, and partitioned right after": {func(c *Checker) {
			reportAll(c, "b", StatusReport{Active: 1, Next: 2})
			c.RecordStatus("a", StatusReport{At: 440 * ms, Active: 1})
			c.RecordStatus("a", StatusReport{At: 480 * ms, Active: 2})
			c.RecordStatus("a", StatusReport{At: 520 * ms, Active: 2, Cautious: true})
			c.RecordAction(resend(500 * ms))
		}, ""},
		"stopped, and allowed before the next report": {func(c *Checker) {
			reportAll(c, "b", StatusReport{Active: 1, Next: 2})
			c.RecordStatus("a", StatusReport{At: 20 * ms, Active: 1})
			c.RecordStatus("a", StatusReport{At: 520 * ms, Active: 2})
			c.RecordAction(resend(500 * ms))
		}, ""},
		"allowed between two reports that are far apart": {func(c *Checker) {
			c.RecordStatus("a", StatusReport{At: 20 * ms, Cautious: true})
			c.RecordStatus("a", StatusReport{At: 520 * ms, Active: 1})
			c.RecordAction(resend(500 * ms))
		}, ""},
		"allowed for long at the process, and still forbidden by another": {func(c *Checker) {
			reportAll(c, "b", StatusReport{Active: 1, Next: 2})
			reportAll(c, "a", StatusReport{Active: 2})
			c.RecordAction(resend(500 * ms))
		}, Contradicts},
		"allowed, and started again": {func(c *Checker) {
			reportAll(c, "b", StatusReport{Active: 1, Next: 2})
			c.RecordStatus("a", StatusReport{At: 0, Active: 1})
			c.RecordStart(450*ms, "a")
			c.RecordStatus("a", StatusReport{At: 520 * ms, Active: 2})
			c.RecordAction(resend(500 * ms))
		}, ""},
		"asked before, answered after": {func(c *Checker) {
			c.RecordStatus("a", StatusReport{At: 0})
			c.RecordStatus("a", StatusReport{At: 100 * ms, AnsweredAt: 510 * ms, Active: 1})
			c.RecordStatus("a", StatusReport{At: 520 * ms, Active: 1})
			c.RecordAction(resend(500 * ms))
		}, ""},
		"resent while cautious": {func(c *Checker) {
			reportAll(c, "a", StatusReport{Cautious: true})
			c.RecordAction(resend(500 * ms))
		}, AgainstSelf},
		"another endpoint": {func(c *Checker) {
			reportAll(c, "b", StatusReport{Active: 1})
			c.RecordAction(Action{At: 500 * ms, Process: "a", Endpoint: "f"})
		}, ""},
		"against its own report": {func(c *Checker) {
			reportAll(c, "a", StatusReport{Active: 1})
			c.RecordAction(resend(500 * ms))
		}, AgainstSelf},
		"an older version without a start": {func(c *Checker) {
			c.RecordStatus("a", StatusReport{At: 1, Active: 1})
			c.RecordStatus("a", StatusReport{At: 2})
		}, VersionRegressed},
		"an older version after a start": {func(c *Checker) {
			c.RecordStatus("a", StatusReport{At: 1, Active: 1})
			c.RecordStart(2, "a")
			c.RecordStatus("a", StatusReport{At: 3, Cautious: true})
		}, ""},
		"versions far apart": {func(c *Checker) {
			reportAll(c, "a", StatusReport{Active: 2})
			reportAll(c, "b", StatusReport{Active: 1})
		}, FarApart},
		"neighboring versions": {func(c *Checker) {
			reportAll(c, "a", StatusReport{Active: 2})
			reportAll(c, "b", StatusReport{Active: 1, Next: 2})
		}, ""},
		"two leaders": {func(c *Checker) {
			c.RecordLeader(1, 3, "a")
			c.RecordLeader(2, 3, "b")
		}, TwoLeaders},
		"agreed version lost": {func(c *Checker) { c.RecordAgreed(9) }, LostVersion},
	} {
		c := New(conf)
		c.RecordVersion(1, Forbidden{Resend: true, Banned: []string{"e"}})
		test.record(c)
		r := c.Close(map[uint64]bool{1: true})
		if got := len(r.Violations) > 0; got != (test.want != "") || got && r.Violations[0].Rule != test.want {
			t.Errorf("%s: %+v, want %q", name, r.Violations, test.want)
		}
	}
}
