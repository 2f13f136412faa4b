package consistency

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// Each rule breaks when it should, and not before.
func TestBook(t *testing.T) {
	conf := Conf{MaxContradiction: 100 * ms, Margin: 10 * ms}
	acts := func(b *Checker, name string, s StatusReport) { // said again and again, as a poll hears it
		for at := time.Duration(0); at <= time.Second; at += 20 * ms {
			s.At = at
			b.RecordStatus(name, s)
		}
	}
	resend := func(at time.Duration) Action { return Action{At: at, Process: "a", Resend: true, What: "resend"} }
	for name, c := range map[string]struct {
		play func(b *Checker)
		want string
	}{
		"nothing forbidden": {func(b *Checker) {
			acts(b, "b", StatusReport{})
			b.RecordAction(resend(500 * ms))
		}, ""},
		"forbidden for a short time": {func(b *Checker) {
			acts(b, "b", StatusReport{Active: 1})
			b.RecordAction(resend(90 * ms))
		}, ""},
		"forbidden for too long": {func(b *Checker) {
			acts(b, "b", StatusReport{Active: 1})
			b.RecordAction(resend(500 * ms))
		}, Contradicts},
		"prepared counts": {func(b *Checker) {
			acts(b, "b", StatusReport{Next: 1})
			b.RecordAction(resend(500 * ms))
		}, Contradicts},
		"who is cautious vouches for nothing": {func(b *Checker) {
			acts(b, "b", StatusReport{Active: 1, Cautious: true})
			b.RecordAction(resend(500 * ms))
		}, ""},
		"a start ends what was said before": {func(b *Checker) {
			acts(b, "b", StatusReport{Active: 1})
			b.RecordStart(470*ms, "b")
			b.RecordAction(resend(500 * ms))
		}, ""},
		"banned": {func(b *Checker) {
			acts(b, "b", StatusReport{Active: 1})
			b.RecordAction(Action{At: 500 * ms, Process: "a", Endpoint: "e"})
		}, Contradicts},
		"loosened a moment ago": {func(b *Checker) {
			acts(b, "b", StatusReport{Active: 1, Next: 2})
			for at := time.Duration(0); at <= time.Second; at += 20 * ms {
				s := StatusReport{At: at, Active: 1}
				if at >= 450*ms {
					s.Active = 2
				}
				b.RecordStatus("a", s)
			}
			b.RecordAction(resend(500 * ms))
		}, ""},
		"loosened, and cut off right after": {func(b *Checker) {
			acts(b, "b", StatusReport{Active: 1, Next: 2})
			b.RecordStatus("a", StatusReport{At: 440 * ms, Active: 1})
			b.RecordStatus("a", StatusReport{At: 480 * ms, Active: 2})
			b.RecordStatus("a", StatusReport{At: 520 * ms, Active: 2, Cautious: true})
			b.RecordAction(resend(500 * ms))
		}, ""},
		"stopped, and loosened before it is asked again": {func(b *Checker) {
			acts(b, "b", StatusReport{Active: 1, Next: 2})
			b.RecordStatus("a", StatusReport{At: 20 * ms, Active: 1})
			b.RecordStatus("a", StatusReport{At: 520 * ms, Active: 2})
			b.RecordAction(resend(500 * ms))
		}, ""},
		"allowed between two words that are far apart": {func(b *Checker) {
			b.RecordStatus("a", StatusReport{At: 20 * ms, Cautious: true})
			b.RecordStatus("a", StatusReport{At: 520 * ms, Active: 1})
			b.RecordAction(resend(500 * ms))
		}, ""},
		"loosened for long, and still done": {func(b *Checker) {
			acts(b, "b", StatusReport{Active: 1, Next: 2})
			acts(b, "a", StatusReport{Active: 2})
			b.RecordAction(resend(500 * ms))
		}, Contradicts},
		"loosened, and started anew": {func(b *Checker) {
			acts(b, "b", StatusReport{Active: 1, Next: 2})
			b.RecordStatus("a", StatusReport{At: 0, Active: 1})
			b.RecordStart(450*ms, "a")
			b.RecordStatus("a", StatusReport{At: 520 * ms, Active: 2})
			b.RecordAction(resend(500 * ms))
		}, ""},
		"asked before, answered after": {func(b *Checker) {
			b.RecordStatus("a", StatusReport{At: 0})
			b.RecordStatus("a", StatusReport{At: 100 * ms, AnsweredAt: 510 * ms, Active: 1})
			b.RecordStatus("a", StatusReport{At: 520 * ms, Active: 1})
			b.RecordAction(resend(500 * ms))
		}, ""},
		"cautious, and does it": {func(b *Checker) {
			acts(b, "a", StatusReport{Cautious: true})
			b.RecordAction(resend(500 * ms))
		}, AgainstSelf},
		"another endpoint": {func(b *Checker) {
			acts(b, "b", StatusReport{Active: 1})
			b.RecordAction(Action{At: 500 * ms, Process: "a", Endpoint: "f"})
		}, ""},
		"against its own word": {func(b *Checker) {
			acts(b, "a", StatusReport{Active: 1})
			b.RecordAction(resend(500 * ms))
		}, AgainstSelf},
		"goes back": {func(b *Checker) {
			b.RecordStatus("a", StatusReport{At: 1, Active: 1})
			b.RecordStatus("a", StatusReport{At: 2})
		}, GoesBack},
		"begins anew": {func(b *Checker) {
			b.RecordStatus("a", StatusReport{At: 1, Active: 1})
			b.RecordStart(2, "a")
			b.RecordStatus("a", StatusReport{At: 3, Cautious: true})
		}, ""},
		"far apart": {func(b *Checker) {
			acts(b, "a", StatusReport{Active: 2})
			acts(b, "b", StatusReport{Active: 1})
		}, FarApart},
		"neighbours": {func(b *Checker) {
			acts(b, "a", StatusReport{Active: 2})
			acts(b, "b", StatusReport{Active: 1, Next: 2})
		}, ""},
		"two leaders": {func(b *Checker) {
			b.RecordLeader(1, 3, "a")
			b.RecordLeader(2, 3, "b")
		}, TwoLeaders},
		"lost": {func(b *Checker) { b.RecordAgreed(9) }, LostVersion},
	} {
		b := New(conf)
		b.RecordVersion(1, Forbidden{Resend: true, Banned: []string{"e"}})
		c.play(b)
		r := b.Close(map[uint64]bool{1: true})
		if got := len(r.Violations) > 0; got != (c.want != "") || got && r.Violations[0].Rule != c.want {
			t.Errorf("%s: %+v, want %q", name, r.Violations, c.want)
		}
	}
}
