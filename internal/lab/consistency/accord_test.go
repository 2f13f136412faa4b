package consistency

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// Each rule breaks when it should, and not before.
func TestBook(t *testing.T) {
	conf := Conf{AtMost: 100 * ms, Margin: 10 * ms}
	acts := func(b *Book, name string, s Saying) { // said again and again, as a poll hears it
		for at := time.Duration(0); at <= time.Second; at += 20 * ms {
			s.At = at
			b.Says(name, s)
		}
	}
	resend := func(at time.Duration) Act { return Act{At: at, Process: "a", Resend: true, What: "resend"} }
	for name, c := range map[string]struct {
		play func(b *Book)
		want string
	}{
		"nothing forbidden": {func(b *Book) {
			acts(b, "b", Saying{})
			b.Did(resend(500 * ms))
		}, ""},
		"forbidden for a short time": {func(b *Book) {
			acts(b, "b", Saying{Active: 1})
			b.Did(resend(90 * ms))
		}, ""},
		"forbidden for too long": {func(b *Book) {
			acts(b, "b", Saying{Active: 1})
			b.Did(resend(500 * ms))
		}, Contradicts},
		"prepared counts": {func(b *Book) {
			acts(b, "b", Saying{Next: 1})
			b.Did(resend(500 * ms))
		}, Contradicts},
		"who is cautious vouches for nothing": {func(b *Book) {
			acts(b, "b", Saying{Active: 1, Cautious: true})
			b.Did(resend(500 * ms))
		}, ""},
		"a start ends what was said before": {func(b *Book) {
			acts(b, "b", Saying{Active: 1})
			b.Started(470*ms, "b")
			b.Did(resend(500 * ms))
		}, ""},
		"banned": {func(b *Book) {
			acts(b, "b", Saying{Active: 1})
			b.Did(Act{At: 500 * ms, Process: "a", Endpoint: "e"})
		}, Contradicts},
		"loosened a moment ago": {func(b *Book) {
			acts(b, "b", Saying{Active: 1, Next: 2})
			for at := time.Duration(0); at <= time.Second; at += 20 * ms {
				s := Saying{At: at, Active: 1}
				if at >= 450*ms {
					s.Active = 2
				}
				b.Says("a", s)
			}
			b.Did(resend(500 * ms))
		}, ""},
		"loosened, and cut off right after": {func(b *Book) {
			acts(b, "b", Saying{Active: 1, Next: 2})
			b.Says("a", Saying{At: 440 * ms, Active: 1})
			b.Says("a", Saying{At: 480 * ms, Active: 2})
			b.Says("a", Saying{At: 520 * ms, Active: 2, Cautious: true})
			b.Did(resend(500 * ms))
		}, ""},
		"stopped, and loosened before it is asked again": {func(b *Book) {
			acts(b, "b", Saying{Active: 1, Next: 2})
			b.Says("a", Saying{At: 20 * ms, Active: 1})
			b.Says("a", Saying{At: 520 * ms, Active: 2})
			b.Did(resend(500 * ms))
		}, ""},
		"allowed between two words that are far apart": {func(b *Book) {
			b.Says("a", Saying{At: 20 * ms, Cautious: true})
			b.Says("a", Saying{At: 520 * ms, Active: 1})
			b.Did(resend(500 * ms))
		}, ""},
		"loosened for long, and still done": {func(b *Book) {
			acts(b, "b", Saying{Active: 1, Next: 2})
			acts(b, "a", Saying{Active: 2})
			b.Did(resend(500 * ms))
		}, Contradicts},
		"loosened, and started anew": {func(b *Book) {
			acts(b, "b", Saying{Active: 1, Next: 2})
			b.Says("a", Saying{At: 0, Active: 1})
			b.Started(450*ms, "a")
			b.Says("a", Saying{At: 520 * ms, Active: 2})
			b.Did(resend(500 * ms))
		}, ""},
		"asked before, answered after": {func(b *Book) {
			b.Says("a", Saying{At: 0})
			b.Says("a", Saying{At: 100 * ms, Heard: 510 * ms, Active: 1})
			b.Says("a", Saying{At: 520 * ms, Active: 1})
			b.Did(resend(500 * ms))
		}, ""},
		"cautious, and does it": {func(b *Book) {
			acts(b, "a", Saying{Cautious: true})
			b.Did(resend(500 * ms))
		}, AgainstSelf},
		"another endpoint": {func(b *Book) {
			acts(b, "b", Saying{Active: 1})
			b.Did(Act{At: 500 * ms, Process: "a", Endpoint: "f"})
		}, ""},
		"against its own word": {func(b *Book) {
			acts(b, "a", Saying{Active: 1})
			b.Did(resend(500 * ms))
		}, AgainstSelf},
		"goes back": {func(b *Book) {
			b.Says("a", Saying{At: 1, Active: 1})
			b.Says("a", Saying{At: 2})
		}, GoesBack},
		"begins anew": {func(b *Book) {
			b.Says("a", Saying{At: 1, Active: 1})
			b.Started(2, "a")
			b.Says("a", Saying{At: 3, Cautious: true})
		}, ""},
		"far apart": {func(b *Book) {
			acts(b, "a", Saying{Active: 2})
			acts(b, "b", Saying{Active: 1})
		}, FarApart},
		"neighbours": {func(b *Book) {
			acts(b, "a", Saying{Active: 2})
			acts(b, "b", Saying{Active: 1, Next: 2})
		}, ""},
		"two leaders": {func(b *Book) {
			b.Leads(1, 3, "a")
			b.Leads(2, 3, "b")
		}, TwoLeaders},
		"lost": {func(b *Book) { b.Told(9) }, LostVersion},
	} {
		b := New(conf)
		b.Version(1, Forbids{Resend: true, Banned: []string{"e"}})
		c.play(b)
		r := b.Close(map[uint64]bool{1: true})
		if got := len(r.Breaks) > 0; got != (c.want != "") || got && r.Breaks[0].Rule != c.want {
			t.Errorf("%s: %+v, want %q", name, r.Breaks, c.want)
		}
	}
}
