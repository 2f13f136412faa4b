package scale

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"heathgap/decide"
	"heathgap/internal/cluster"
	"heathgap/internal/cluster/voter"
	"heathgap/internal/lab/emulated"
	"heathgap/internal/lab/harness"
	"heathgap/internal/peerrpc"
	"heathgap/internal/versions"
)

// Times of proposals.
const (
	proposeTime  = 2 * time.Second // for one try
	proposePause = 20 * time.Millisecond
	never        = time.Duration(math.MaxInt64)
)

// act plays one act, which was due at a time, and what ends it.
func (r *run) act(ctx context.Context, a Act, due time.Duration) {
	if a.Do != Propose {
		r.note("%s", a.text())
	}
	switch a.Do {
	case Propose, Burst:
		for range a.Count {
			r.mu.Lock()
			r.obs.Left++
			r.mu.Unlock()
			r.proposals <- due // there is room for all of a run
		}
	case Restart:
		var all sync.WaitGroup
		defer all.Wait()
		for _, group := range r.byProcess(a.Members) {
			all.Go(func() { r.restart(ctx, group, a.Killed, a.Away, true) })
		}
	case Kill, Rack, Zone:
		members := a.Members
		if leader := r.leaderName(); a.Leader && leader != "" {
			r.note("with it the leader, %s", leader)
			members = append(slices.Clone(members), leader)
		}
		var all sync.WaitGroup
		defer all.Wait()
		for _, group := range r.byProcess(members) {
			all.Go(func() { r.restart(ctx, group, true, a.Away, a.Away > 0) })
		}
	case Leader:
		leader := r.leaderName()
		if leader == "" {
			r.note("nobody leads")
			return
		}
		r.note("%s leads, and is killed", leader)
		r.restart(ctx, []string{leader}, true, a.For, a.For > 0)
	case Cut:
		r.cut(ctx, a)
	case Slow:
		who := a.Members[0]
		if who == Leader {
			if who = r.leaderName(); who == "" {
				r.note("nobody leads")
				return
			}
		}
		r.delayAnswers(who, a.By)
		sleep(ctx, a.For) //nolint:errcheck // then it ends
		r.delayAnswers(who, -a.By)
		r.note("%s answers as before", who)
	}
}

// text says what an act does.
func (a *Act) text() string {
	var b strings.Builder
	b.WriteString(a.Do)
	switch {
	case len(a.Members) > 3:
		fmt.Fprintf(&b, " %d members", len(a.Members))
	case len(a.Members) > 0:
		b.WriteString(" " + strings.Join(a.Members, " "))
	case a.Do == Burst:
		fmt.Fprintf(&b, " of %d versions", a.Count)
	case a.Do == Cut:
		fmt.Fprintf(&b, " between %s and %s for %v", a.Between[0], a.Between[1], a.For)
	}
	if a.Do == Slow {
		fmt.Fprintf(&b, " by %v for %v", a.By, a.For)
	}
	return b.String()
}

// byProcess are the members by the process that runs them.
func (r *run) byProcess(members []string) [][]string {
	groups := map[string][]string{}
	for _, name := range members {
		process := name
		if h := r.herdOf[name]; h != nil {
			process = h.name
		}
		groups[process] = append(groups[process], name)
	}
	var out [][]string
	for _, process := range slices.Sorted(maps.Keys(groups)) {
		out = append(out, groups[process])
	}
	return out
}

// restart ends members of one process and, if they are to come back, starts them after a time.
func (r *run) restart(ctx context.Context, members []string, kill bool, away time.Duration, back bool) {
	down, did := r.endMembers(members, kill)
	if !did {
		return
	}
	if !back || sleep(ctx, away) != nil {
		return
	}
	at := boot()
	var err error
	if h := r.herdOf[members[0]]; h != nil {
		_, err = h.do(emulated.Command{Do: emulated.Restart, Members: members}, commandTime)
	} else {
		err = r.sidecars[members[0]].start(ctx)
	}
	r.mu.Lock()
	for name, i := range down {
		r.obs.Downs[name][i].To = at
	}
	r.mu.Unlock()
	if err != nil && ctx.Err() == nil {
		r.broken("%s does not come back: %v", strings.Join(members, " "), err)
	}
}

// endMembers ends members of one process, by a kill or in order. It tells at which place of each one's downs that stands.
func (r *run) endMembers(members []string, kill bool) (down map[string]int, did bool) {
	from := boot()
	if h := r.herdOf[members[0]]; h != nil {
		do := emulated.Leave
		if kill {
			do = emulated.Kill
		}
		if _, err := h.do(emulated.Command{Do: do, Members: members}, commandTime); err != nil {
			r.broken("%v", err)
			return nil, false
		}
		if !kill {
			from = boot()
		}
	} else {
		signal, most := syscall.SIGTERM, leaveTime
		if kill {
			signal, most = syscall.SIGKILL, killTime
		}
		if from, did = r.sidecars[members[0]].end(signal, most); !did {
			return nil, false
		}
	}
	down = map[string]int{}
	r.mu.Lock()
	for _, name := range members {
		down[name] = len(r.obs.Downs[name])
		r.obs.Downs[name] = append(r.obs.Downs[name], Span{From: from, To: never})
	}
	r.mu.Unlock()
	return down, true
}

// cut cuts two regions off each other, and mends that.
func (r *run) cut(ctx context.Context, a Act) {
	set := func(cut bool) {
		for _, b := range r.between {
			if b.regions == a.Between || b.regions == [2]string{a.Between[1], a.Between[0]} {
				b.relay.SetPartitioned(cut)
			}
		}
		do := emulated.Heal
		if cut {
			do = emulated.Partition
		}
		var all sync.WaitGroup
		for _, h := range r.herds {
			all.Go(func() {
				if _, err := h.do(emulated.Command{Do: do, Regions: a.Between}, commandTime); err != nil {
					r.broken("%v", err)
				}
			})
		}
		all.Wait()
	}
	r.mu.Lock()
	place := len(r.obs.Cuts)
	r.obs.Cuts = append(r.obs.Cuts, PartitionSpan{Span{boot(), never}, a.Between})
	r.mu.Unlock()
	set(true)
	sleep(ctx, a.For) //nolint:errcheck // then it ends
	set(false)
	r.mu.Lock()
	r.obs.Cuts[place].To = boot()
	r.mu.Unlock()
	r.note("%s and %s reach each other", a.Between[0], a.Between[1])
}

// delayAnswers has a keeper's answers come so much later, or sooner again.
func (r *run) delayAnswers(keeper string, by time.Duration) {
	for _, c := range r.sidecars {
		if way := c.relays[keeper]; way != nil {
			way.SetAnswerDelay(by)
		}
	}
	if front := r.fronts[keeper]; front != nil {
		front.SetAnswerDelay(by)
	}
}

// propose proposes what is due, one version after another.
func (r *run) propose(ctx context.Context) {

	for n := 1; ; n++ {
		var due time.Duration
		select {
		case <-ctx.Done():
			return
		case due = <-r.proposals:
		}
		next := r.document(n)
		told, ok := r.proposeOne(ctx, due, next)
		if !ok {
			if ctx.Err() == nil {
				r.broken("a version that was due at %.2fs could not be proposed", (due - r.began).Seconds())
			}
			return
		}
		for ctx.Err() == nil { // one at a time
			r.mu.Lock()
			over, why := r.active >= told, r.refused[told]
			r.mu.Unlock()
			if over || why != "" {
				break
			}
			sleep(ctx, proposePause) //nolint:errcheck // the loop looks
		}

	}
}

// document is what the n-th version says: the effect of a class, and endpoints that are banned, as operators' versions do. Each
// differs from the one before.
func (r *run) document(n int) versions.Document {
	effect := decide.Safe
	if n%2 == 1 {
		effect = decide.Unsafe
	}
	doc := versions.Document{Classes: map[string]versions.Class{harness.ProbedClass: {Effect: effect}}}
	for i := range r.s.Banned {
		name := fmt.Sprintf("endpoint-%06d.%s", n+i, r.s.zones()[i%len(r.s.zones())])
		if i == 0 { // one of those that the real sidecars send to
			name = r.endpoints[n%len(r.endpoints)].Name
		}
		doc.Banned = append(doc.Banned, name)
	}
	slices.Sort(doc.Banned)
	return doc
}

// proposeOne proposes a version at whichever keeper leads, until it is told.
func (r *run) proposeOne(ctx context.Context, due time.Duration, doc versions.Document) (number uint64, ok bool) {
	proposal := cluster.Proposal{ID: voter.NewID(), Author: "lab", Doc: doc}
	limit := time.Now().Add(r.s.Duration + lastVersion)
	for ; ctx.Err() == nil && time.Now().Before(limit); sleep(ctx, proposePause) { //nolint:errcheck // the loop looks
		r.mu.Lock()
		leader := r.sidecars[r.leader]
		proposal.Parent = r.active
		r.mu.Unlock()
		if leader == nil {
			continue
		}
		var told voter.ProposeResult
		err := leader.line.Call("propose", proposal, &told, proposeTime)
		switch {
		case err == nil && told.Number > 0:
			r.told(told.Number, due)
			return told.Number, true
		case errors.Is(err, peerrpc.ErrRefused):
			// Turned down, or the leader was lost before it was agreed on and it may count: the ledger tells.
			var s voter.Status
			if leader.line.Call("status", struct{}{}, &s, proposeTime) != nil || s.Ledger == nil || s.Leader != s.Name {
				continue
			}
			if round := s.Ledger.Find(proposal.ID); round != nil {
				r.told(round.Number, due)
				return round.Number, true
			}
			if slices.Contains(s.Ledger.RejectedProposals, proposal.ID) {
				proposal.ID = voter.NewID()
			}
		}
	}
	return 0, false
}

func (r *run) told(number uint64, due time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.obs.Left--
	r.obs.Versions = append(r.obs.Versions, Notified{Number: number, Due: due, Told: boot()})
}
