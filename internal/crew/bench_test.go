package crew

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRenewal is what one renewal costs a leader of a crew of so many, without the network: the answer, and the look whether
// anything is due.
func BenchmarkRenewal(b *testing.B) {
	for _, members := range []int{30, 300, 3000} {
		for _, looks := range []string{"when due", "each time"} {
			b.Run(fmt.Sprintf("%d members, %s", members, looks), func(b *testing.B) {
				terms := Terms{Lease: time.Second, Drift: 0.01}
				l := NewLedger()
				for i := range members {
					l.Apply(&Entry{Enter: []Member{{Name: fmt.Sprint("m", i), Token: uint64(i + 1)}}})
				}
				g := NewGranter(terms, 1)
				now := Boot(time.Second)
				heard := Word{Term: 1, At: now}
				gap := terms.Lease / Heartbeats / time.Duration(members)
				for i := 0; b.Loop(); i++ {
					n := i % members
					r := Renewal{Member: Member{Name: fmt.Sprint("m", n), Token: uint64(n + 1)}, Terms: terms.Hash(), Epoch: l.Epoch, Heard: heard}
					grant := g.Renew(now, l, &r)
					if !grant.Granted {
						b.Fatal(grant.Why)
					}
					g.news = g.news || looks == "each time"
					if due := g.Due(now, l); len(due) > 0 {
						b.Fatalf("%+v", due)
					}
					heard, now = grant.Word, now+gap
				}
			})
		}
	}
}
