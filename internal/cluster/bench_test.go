package cluster

import (
	"fmt"
	"testing"
	"time"

	"heathgap/internal/clusterparams"
	"heathgap/internal/holdings"
)

// BenchmarkRenewal measures what one renewal costs the leader of a cluster, without the network: the answer, and the check whether
// anything is due.
func BenchmarkRenewal(b *testing.B) {
	for _, members := range []int{30, 300, 3000} {
		for _, check := range []string{"when due", "each time"} {
			b.Run(fmt.Sprintf("%d members, %s", members, check), func(b *testing.B) {
				conf := Params{Lease: time.Second, Drift: 0.01}
				l := NewLedger()
				for i := range members {
					l.Apply(&Entry{Join: []Member{{Name: fmt.Sprint("m", i), Token: uint64(i + 1)}}})
				}
				lessor := NewLessor(conf, 1)
				now := BootTime(time.Second)
				echo := Echo{Term: 1, At: now}
				gap := conf.Lease / HeartbeatsPerLease / time.Duration(members)
				for i := 0; b.Loop(); i++ {
					n := i % members
					r := Renewal{Member: Member{Name: fmt.Sprint("m", n), Token: uint64(n + 1)}, ParamsHash: conf.Hash(), Epoch: l.Epoch, LastEcho: echo}
					grant := lessor.Renew(now, l, &r)
					if !grant.Granted {
						b.Fatal(grant.Reason)
					}
					lessor.recheck = lessor.recheck || check == "each time"
					if due := lessor.Due(now, l); len(due) > 0 {
						b.Fatalf("%+v", due)
					}
					echo, now = grant.Echo, now+gap
				}
			})
		}
	}
}

// BenchmarkParts measures the parts of what one change costs the leader of a cluster with holdings: the list of members, a copy of the
// placement, the plan of replicas, a copy of the ledger as for a status, the hash of the parameters with each renewal, and the check.
func BenchmarkParts(b *testing.B) {
	for _, members := range []int{60, 120, 240, 580} {
		conf := Params{Lease: time.Second, Drift: 0.01, Holdings: clusterparams.Holdings{Copies: 2, Keep: time.Minute, LostAfter: time.Minute}}
		l := NewLedger()
		for i := range members {
			l.Apply(&Entry{Join: []Member{{Name: fmt.Sprint("m", i), Token: uint64(i + 1), Zone: fmt.Sprint(i % 5), Address: fmt.Sprint("10.0.0.1:", i)}}})
		}
		plan := func() []holdings.PlacementChange {
			placement := l.Placement
			if placement == nil {
				placement = &holdings.Placement{}
			}
			return placement.Plan(&holdings.PlacementInput{Members: l.Membership(), Copies: 2, CountsAsLost: func(int) bool { return false }})
		}
		l.Apply(&Entry{ReplicaChanges: plan(), Epoch: l.Epoch})
		for _, part := range []struct {
			name string
			do   func()
		}{
			{"membership", func() { l.Membership() }},
			{"placement's copy", func() { l.Placement.Clone() }},
			{"plan", func() { plan() }},
			{"ledger's copy", func() { l.Clone() }},
			{"hash of the terms", func() { conf.Hash() }},
			{"look", func() {
				lessor := NewLessor(conf, 1)
				lessor.plannedFor = viewVersion{l.Epoch, l.Placement.Number}
				lessor.findDue(time.Second, l)
			}},
		} {
			b.Run(fmt.Sprintf("%d members, %s", members, part.name), func(b *testing.B) {
				for b.Loop() {
					part.do()
				}
			})
		}
	}
}
