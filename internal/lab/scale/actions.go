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
	proposeTimeout    = 2 * time.Second // for one try
	proposeRetryDelay = 20 * time.Millisecond
	never             = time.Duration(math.MaxInt64)
)

// perform plays one act, which was due at a time, and what ends it.
func (r *run) perform(ctx context.Context, a Action, due time.Duration) {
	if a.Kind != Propose {
		r.recordStep("%s", a.describe())
	}
	switch a.Kind {
	case Propose, Burst:
		for range a.Count {
			r.mu.Lock()
			r.obs.Unproposed++
			r.mu.Unlock()
			r.proposals <- due // there is room for all of a run
		}
	case Restart:
		var all sync.WaitGroup
		defer all.Wait()
		for _, group := range r.byProcess(a.Members) {
			all.Go(func() { r.restart(ctx, group, a.Killed, a.Downtime, true) })
		}
	case Kill, Rack, Zone:
		members := a.Members
		if leader := r.leaderName(); a.KillLeader && leader != "" {
			r.recordStep("with it the leader, %s", leader)
			members = append(slices.Clone(members), leader)
		}
		var all sync.WaitGroup
		defer all.Wait()
		for _, group := range r.byProcess(members) {
			all.Go(func() { r.restart(ctx, group, true, a.Downtime, a.Downtime > 0) })
		}
	case Leader:
		leader := r.leaderName()
		if leader == "" {
			r.recordStep("nobody leads")
			return
		}
		r.recordStep("%s leads, and is killed", leader)
		r.restart(ctx, []string{leader}, true, a.Duration, a.Duration > 0)
	case Partition:
		r.partition(ctx, a)
	case Slow:
		target := a.Members[0]
		if target == Leader {
			if target = r.leaderName(); target == "" {
				r.recordStep("nobody leads")
				return
			}
		}
		r.delayAnswers(target, a.Delay)
		sleep(ctx, a.Duration) //nolint:errcheck // then it ends
		r.delayAnswers(target, -a.Delay)
		r.recordStep("%s answers as before", target)
	}
}

// describe says what an act does.
func (a *Action) describe() string {
	var b strings.Builder
	b.WriteString(a.Kind)
	switch {
	case len(a.Members) > 3:
		fmt.Fprintf(&b, " %d members", len(a.Members))
	case len(a.Members) > 0:
		b.WriteString(" " + strings.Join(a.Members, " "))
	case a.Kind == Burst:
		fmt.Fprintf(&b, " of %d versions", a.Count)
	case a.Kind == Partition:
		fmt.Fprintf(&b, " between %s and %s for %v", a.Between[0], a.Between[1], a.Duration)
	}
	if a.Kind == Slow {
		fmt.Fprintf(&b, " by %v for %v", a.Delay, a.Duration)
	}
	return b.String()
}

// byProcess are the members by the process that runs them.
func (r *run) byProcess(members []string) [][]string {
	groups := map[string][]string{}
	for _, name := range members {
		process := name
		if p := r.processOf[name]; p != nil {
			process = p.name
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
func (r *run) restart(ctx context.Context, members []string, kill bool, downtime time.Duration, back bool) {
	indexes, stopped := r.stopMembers(members, kill)
	if !stopped {
		return
	}
	if !back || sleep(ctx, downtime) != nil {
		return
	}
	restartedAt := bootTime()
	var err error
	if p := r.processOf[members[0]]; p != nil {
		_, err = p.command(emulated.Command{Do: emulated.Restart, Members: members}, commandTimeout)
	} else {
		err = r.sidecars[members[0]].start(ctx)
	}
	r.mu.Lock()
	for name, i := range indexes {
		r.obs.Downtimes[name][i].To = restartedAt
	}
	r.mu.Unlock()
	if err != nil && ctx.Err() == nil {
		r.recordFailure("%s does not come back: %v", strings.Join(members, " "), err)
	}
}

// stopMembers ends members of one process, by a kill or in order. It tells at which place of each one's downs that stands.
func (r *run) stopMembers(members []string, kill bool) (indexes map[string]int, stopped bool) {
	from := bootTime()
	if p := r.processOf[members[0]]; p != nil {
		do := emulated.Leave
		if kill {
			do = emulated.Kill
		}
		if _, err := p.command(emulated.Command{Do: do, Members: members}, commandTimeout); err != nil {
			r.recordFailure("%v", err)
			return nil, false
		}
		if !kill {
			from = bootTime()
		}
	} else {
		signal, timeout := syscall.SIGTERM, leaveTimeout
		if kill {
			signal, timeout = syscall.SIGKILL, killTimeout
		}
		if from, stopped = r.sidecars[members[0]].end(signal, timeout); !stopped {
			return nil, false
		}
	}
	indexes = map[string]int{}
	r.mu.Lock()
	for _, name := range members {
		indexes[name] = len(r.obs.Downtimes[name])
		r.obs.Downtimes[name] = append(r.obs.Downtimes[name], Span{From: from, To: never})
	}
	r.mu.Unlock()
	return indexes, true
}

// partition cuts two regions off each other, and mends that.
func (r *run) partition(ctx context.Context, a Action) {
	set := func(cut bool) {
		for _, b := range r.regionRelays {
			if b.regions == a.Between || b.regions == [2]string{a.Between[1], a.Between[0]} {
				b.relay.SetPartitioned(cut)
			}
		}
		do := emulated.Heal
		if cut {
			do = emulated.Partition
		}
		var all sync.WaitGroup
		for _, p := range r.emulated {
			all.Go(func() {
				if _, err := p.command(emulated.Command{Do: do, Regions: a.Between}, commandTimeout); err != nil {
					r.recordFailure("%v", err)
				}
			})
		}
		all.Wait()
	}
	r.mu.Lock()
	place := len(r.obs.Partitions)
	r.obs.Partitions = append(r.obs.Partitions, PartitionSpan{Span{bootTime(), never}, a.Between})
	r.mu.Unlock()
	set(true)
	sleep(ctx, a.Duration) //nolint:errcheck // then it ends
	set(false)
	r.mu.Lock()
	r.obs.Partitions[place].To = bootTime()
	r.mu.Unlock()
	r.recordStep("%s and %s reach each other", a.Between[0], a.Between[1])
}

// delayAnswers has a keeper's answers come so much later, or sooner again.
func (r *run) delayAnswers(keeper string, by time.Duration) {
	for _, c := range r.sidecars {
		if relay := c.relays[keeper]; relay != nil {
			relay.SetAnswerDelay(by)
		}
	}
	if front := r.voterRelays[keeper]; front != nil {
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
		next := r.versionDocument(n)
		number, ok := r.proposeOne(ctx, due, next)
		if !ok {
			if ctx.Err() == nil {
				r.recordFailure("a version that was due at %.2fs could not be proposed", (due - r.began).Seconds())
			}
			return
		}
		for ctx.Err() == nil { // one at a time
			r.mu.Lock()
			inEffect, refusal := r.activeVersion >= number, r.refusedVersions[number]
			r.mu.Unlock()
			if inEffect || refusal != "" {
				break
			}
			sleep(ctx, proposeRetryDelay) //nolint:errcheck // the loop looks
		}

	}
}

// versionDocument is what the n-th version says: the effect of a class, and endpoints that are banned, as operators' versions do. Each
// differs from the one before.
func (r *run) versionDocument(n int) versions.Document {
	effect := decide.Safe
	if n%2 == 1 {
		effect = decide.Unsafe
	}
	doc := versions.Document{Classes: map[string]versions.Class{harness.ProbedClass: {Effect: effect}}}
	for i := range r.scenario.Banned {
		name := fmt.Sprintf("endpoint-%06d.%s", n+i, r.scenario.zones()[i%len(r.scenario.zones())])
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
	limit := time.Now().Add(r.scenario.Duration + proposalsTimeout)
	for ; ctx.Err() == nil && time.Now().Before(limit); sleep(ctx, proposeRetryDelay) { //nolint:errcheck // the loop looks
		r.mu.Lock()
		leader := r.sidecars[r.leader]
		proposal.Parent = r.activeVersion
		r.mu.Unlock()
		if leader == nil {
			continue
		}
		var result voter.ProposeResult
		err := leader.client.Call("propose", proposal, &result, proposeTimeout)
		switch {
		case err == nil && result.Number > 0:
			r.recordProposed(result.Number, due)
			return result.Number, true
		case errors.Is(err, peerrpc.ErrRefused):
			// Turned down, or the leader was lost before it was agreed on and it may count: the ledger tells.
			var s voter.Status
			if leader.client.Call("status", struct{}{}, &s, proposeTimeout) != nil || s.Ledger == nil || s.Leader != s.Name {
				continue
			}
			if round := s.Ledger.Find(proposal.ID); round != nil {
				r.recordProposed(round.Number, due)
				return round.Number, true
			}
			if slices.Contains(s.Ledger.RejectedProposals, proposal.ID) {
				proposal.ID = voter.NewID()
			}
		}
	}
	return 0, false
}

func (r *run) recordProposed(number uint64, due time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.obs.Unproposed--
	r.obs.Versions = append(r.obs.Versions, ProposedVersion{Number: number, Due: due, Proposed: bootTime()})
}
