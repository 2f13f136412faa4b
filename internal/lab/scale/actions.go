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
	proposeTimeout    = 2 * time.Second // for one call of the leader
	proposeRetryDelay = 20 * time.Millisecond
	// never is the end of a downtime or a partition that has not ended.
	never = time.Duration(math.MaxInt64)
)

// perform carries out one action of the plan, which was due at the given time, and returns when its effects have ended.
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
			r.proposals <- due // the channel has room for all proposals of a run
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
		sleep(ctx, a.Duration) //nolint:errcheck // if the run is interrupted, the delay ends at once
		r.delayAnswers(target, -a.Delay)
		r.recordStep("%s answers as before", target)
	}
}

// describe returns the action as text, for the record's steps.
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

// byProcess groups members by the process that runs them.
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

// restart stops members that run in the same process. If back is set, it starts them again after the downtime. Both are recorded as a
// downtime of each member.
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
		r.recordFailure("%s could not be started again: %v", strings.Join(members, " "), err)
	}
}

// stopMembers stops members of one process, killed or with a graceful leave, and records the begin of their downtimes. It returns, by
// member, the index of that downtime in r.obs.Downtimes. stopped is false if they were not running or could not be stopped.
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

// partition cuts two regions off from each other for the action's duration, and then heals the partition.
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
	index := len(r.obs.Partitions)
	r.obs.Partitions = append(r.obs.Partitions, PartitionSpan{Span{bootTime(), never}, a.Between})
	r.mu.Unlock()
	set(true)
	sleep(ctx, a.Duration) //nolint:errcheck // if the run is interrupted, the partition ends at once
	set(false)
	r.mu.Lock()
	r.obs.Partitions[index].To = bootTime()
	r.mu.Unlock()
	r.recordStep("%s and %s reach each other", a.Between[0], a.Between[1])
}

// delayAnswers delays the answers of a voter by a further amount of time; a negative amount takes a delay back.
func (r *run) delayAnswers(name string, by time.Duration) {
	for _, c := range r.sidecars {
		if relay := c.relays[name]; relay != nil {
			relay.AddAnswerDelay(by)
		}
	}
	if relay := r.voterRelays[name]; relay != nil {
		relay.AddAnswerDelay(by)
	}
}

// propose proposes the versions that are due, one after another.
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
		for ctx.Err() == nil { // wait until this version has ended: one is proposed at a time
			r.mu.Lock()
			inEffect, refusal := r.activeVersion >= number, r.refusedVersions[number]
			r.mu.Unlock()
			if inEffect || refusal != "" {
				break
			}
			sleep(ctx, proposeRetryDelay) //nolint:errcheck // the loop's condition checks the context
		}

	}
}

// versionDocument returns the content of the n-th version: it sets the effect of a class and bans some endpoints, as versions of operators
// do. Each document differs from the one before.
func (r *run) versionDocument(n int) versions.Document {
	effect := decide.Safe
	if n%2 == 1 {
		effect = decide.Unsafe
	}
	doc := versions.Document{Classes: map[string]versions.Class{harness.ProbedClass: {Effect: effect}}}
	for i := range r.scenario.Banned {
		name := fmt.Sprintf("endpoint-%06d.%s", n+i, r.scenario.zones()[i%len(r.scenario.zones())])
		if i == 0 { // ban one of the endpoints that the real sidecars send to
			name = r.endpoints[n%len(r.endpoints)].Name
		}
		doc.Banned = append(doc.Banned, name)
	}
	slices.Sort(doc.Banned)
	return doc
}

// proposeOne proposes a version to the current leader, and tries again until a leader accepts it. It returns the version's number; ok is
// false if no leader accepted the version in time, or if the context has ended.
func (r *run) proposeOne(ctx context.Context, due time.Duration, doc versions.Document) (number uint64, ok bool) {
	proposal := cluster.Proposal{ID: voter.NewID(), Author: "lab", Doc: doc}
	limit := time.Now().Add(r.scenario.Duration + proposalsTimeout)
	for ; ctx.Err() == nil && time.Now().Before(limit); sleep(ctx, proposeRetryDelay) { //nolint:errcheck // the loop's condition checks the context
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
			// Either the proposal was rejected, or the voter lost its leadership before the proposal was committed, so that it may or may
			// not count. The ledger shows which.
			var s voter.Status
			if leader.client.Call("status", struct{}{}, &s, proposeTimeout) != nil || s.Ledger == nil || s.Leader != s.Name {
				continue
			}
			if versionRecord := s.Ledger.Find(proposal.ID); versionRecord != nil {
				r.recordProposed(versionRecord.Number, due)
				return versionRecord.Number, true
			}
			if slices.Contains(s.Ledger.RejectedProposals, proposal.ID) {
				proposal.ID = voter.NewID()
			}
		}
	}
	return 0, false
}

// recordProposed records that a leader accepted a version, which was due at the given time.
func (r *run) recordProposed(number uint64, due time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.obs.Unproposed--
	r.obs.Versions = append(r.obs.Versions, ProposedVersion{Number: number, Due: due, Proposed: bootTime()})
}
