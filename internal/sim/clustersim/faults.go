package clustersim

import (
	"fmt"
	"slices"
	"time"

	"heathgap/internal/cluster"
	"heathgap/internal/cluster/voter"
)

// faultKind is a kind of fault. Its weight is how often it is picked, relative to the others.
type faultKind struct {
	name   string
	weight int
	inject func(r *run)
}

// faultKinds returns all kinds of faults. What a seed does depends on their order. hears_only and leader_hears_only partition the
// directions to the process, is_heard_only those from it.
func faultKinds() []faultKind {
	return []faultKind{
		{"kill", 6, func(r *run) { r.kill(r.randomProcess()) }},
		{"kill_leader", 3, func(r *run) { r.kill(r.leaderOrRandom()) }},
		{"stop", 3, (*run).stopGracefully},
		{"pause", 4, func(r *run) { r.pause(r.randomProcess(), r.w.randomDuration(50*time.Millisecond, 4*time.Second)) }},
		{"pause_asking", 3, func(r *run) { r.randomProcess().pauseAtRenewal = r.w.randomDuration(time.Second, 4*time.Second) }},
		{"pause_leader", 4, func(r *run) { r.pause(r.leaderOrRandom(), r.w.randomDuration(50*time.Millisecond, 4*time.Second)) }},
		{"cut", 4, func(r *run) { r.partitionProcess(r.randomProcess().name, true, true) }},
		{"hears_only", 3, func(r *run) { r.partitionProcess(r.randomProcess().name, false, true) }},
		{"is_heard_only", 3, func(r *run) { r.partitionProcess(r.randomProcess().name, true, false) }},
		{"leader_hears_only", 2, func(r *run) { r.partitionProcess(r.leaderOrRandom().name, false, true) }},
		{"leader_alone", 3, (*run).isolateLeader},
		{"halves", 3, (*run).splitCluster},
		{"wipe", 3, (*run).loseDirectory},
		{"set_back", 3, (*run).setBackDirectory},
		{"set_back_between", 2, (*run).setBackMiddleVoter},
		{"disk", 4, (*run).scheduleDiskFault},
		{"twin", 2, (*run).startDuplicate},
		{"all_keepers", 1, func(r *run) { r.killAll(r.names[:r.conf.Voters]) }},
		{"everybody", 1, func(r *run) { r.killAll(r.names) }},
		{"leaders_in_turn", 1, (*run).pauseLeadersInTurn},
	}
}

// injectFaults schedules its next call and injects a fault picked at random; none while a voter whose data directory was set back is
// incomplete.
func (r *run) injectFaults() {
	if r.faultsOver {
		return
	}
	r.w.schedule(r.w.randomDuration(r.conf.FaultEvery/4, 7*r.conf.FaultEvery/4), "strike", "", r.injectFaults)
	for name := range r.incomplete {
		if r.setBack[name] {
			return // that voter must reach the others, so that they notice; the cluster guarantees nothing if another fault happens meanwhile
		}
	}
	all := faultKinds()
	sum := 0
	for _, k := range all {
		sum += k.weight
	}
	n := r.w.rng.IntN(sum)
	for _, k := range all {
		if n -= k.weight; n < 0 {
			if len(r.running()) > 0 {
				r.w.record("fault "+k.name, "")
				r.result.Faults[k.name]++
				k.inject(r)
			}
			break
		}
	}
}

// randomProcess picks a running process. With probability 0.5 it picks only among those with a voter's data directory, if any such
// process runs.
func (r *run) randomProcess() *process {
	up := r.running()
	if r.w.chance(0.5) {
		if voters := slices.DeleteFunc(slices.Clone(up), func(p *process) bool { return p.disk == nil }); len(voters) > 0 {
			up = voters
		}
	}
	return up[r.w.rng.IntN(len(up))]
}

// leaderOrRandom returns the leader's process, or any process if no unpaused process leads.
func (r *run) leaderOrRandom() *process {
	if p := r.unpausedLeader(); p != nil {
		return p
	}
	return r.randomProcess()
}

// pause pauses a process for a time.
func (r *run) pause(p *process, duration time.Duration) {
	if p.paused {
		return
	}
	p.pause()
	r.w.schedule(duration, "continue", p.id, func() {
		if p.paused && !p.dead {
			p.resume()
		}
	})
}

// stopGracefully ends a process gracefully: it announces that it leaves, and exits 50 ms later.
func (r *run) stopGracefully() {
	p := r.randomProcess()
	renewal := p.holder.NextRenewal()
	renewal.Leaving = true
	call(p, p.renewer.FirstVoter(), "renew", renewal, 500*time.Millisecond, func(q *process, renewal cluster.Renewal, reply func(voter.RenewResult)) {
		q.withVoter(func(c *voter.Core) { c.Renew(renewal, reply) })
	}, func(voter.RenewResult, bool) {})
	// It renews no more, so the announcement is its last message.
	p.leaving = true
	r.w.schedule(50*time.Millisecond, "exit", p.id, func() {
		if !p.dead {
			r.kill(p)
		}
	})
}

// partitionProcess partitions the directions from a process (out), to it (in), or both.
func (r *run) partitionProcess(name string, out, in bool) {
	var directions []direction
	for _, other := range append([]string{clientName}, r.names...) {
		if other == name {
			continue
		}
		if out {
			directions = append(directions, direction{name, other})
		}
		if in {
			directions = append(directions, direction{other, name})
		}
	}
	r.partition(directions)
}

// isolateLeader partitions the leader from the other voters, but not from the members, so that for a moment it and the next
// leader both lead. A proposal follows.
func (r *run) isolateLeader() {
	leader := r.leaderOrRandom().name
	var directions []direction
	for _, other := range r.names[:r.conf.Voters] {
		if other != leader {
			directions = append(directions, direction{leader, other}, direction{other, leader})
		}
	}
	r.partition(directions)
	r.w.schedule(r.w.randomDuration(500*time.Millisecond, 1200*time.Millisecond), "propose", "", func() {
		if !r.faultsOver {
			r.propose(r.nextDocument(), func(uint64, error) {})
		}
	})
}

// splitCluster partitions the cluster into two halves. Half of the time one voter still reaches both.
func (r *run) splitCluster() {
	var sides [2][]string
	bridge := r.names[r.w.rng.IntN(r.conf.Voters)]
	if r.w.chance(0.5) {
		bridge = ""
	}
	for _, name := range r.names {
		if name != bridge {
			side := r.w.rng.IntN(2)
			sides[side] = append(sides[side], name)
		}
	}
	var directions []direction
	for _, a := range sides[0] {
		for _, b := range sides[1] {
			directions = append(directions, direction{a, b}, direction{b, a})
		}
	}
	r.partition(directions)
}

// partition partitions directions for a time. A direction that two partitions share heals with the first of them.
func (r *run) partition(directions []direction) {
	for _, d := range directions {
		r.partitioned[d] = true
	}
	r.w.schedule(r.w.randomDuration(100*time.Millisecond, 4*time.Second), "mend", "", func() {
		for _, d := range directions {
			delete(r.partitioned, d)
		}
		r.sendHeld()
	})
}

// sendHeld sends the held messages of all directions that are no longer partitioned.
func (r *run) sendHeld() {
	held := r.heldMessages
	r.heldMessages = nil
	for _, h := range held {
		if r.partitioned[h.direction] {
			r.heldMessages = append(r.heldMessages, h)
			continue
		}
		h.send()
	}
}

// votersIntact reports whether all voters run with complete data directories and nothing is partitioned, so that one data
// directory may be damaged. The cluster guarantees nothing unless a majority of the directories is complete, and a voter with a
// directory that was set back must reach the others.
func (r *run) votersIntact() bool {
	if len(r.incomplete) > 0 {
		return false
	}
	for _, name := range r.names[:r.conf.Voters] {
		p := r.processes[name]
		if p == nil || p.dead || p.paused || p.core == nil {
			return false
		}
	}
	return len(r.partitioned) == 0 && r.highestApplied > 0
}

// loseDirectory empties the data directory of a voter and restarts it.
func (r *run) loseDirectory() {
	name := r.names[r.w.rng.IntN(r.conf.Voters)]
	if !r.votersIntact() {
		return
	}
	r.processes[name].kill()
	r.wipe(name)
	r.restartLater(name)
}

// setBackDirectory sets the data directory of a voter back to an earlier copy. Soon after, the leader may be paused.
func (r *run) setBackDirectory() {
	name := r.names[r.w.rng.IntN(r.conf.Voters)]
	if !r.votersIntact() {
		return
	}
	saved := r.disks[name].copy()
	r.w.schedule(r.w.randomDuration(200*time.Millisecond, 2*time.Second), "set back", name, func() {
		if r.votersIntact() {
			r.replaceDirectory(name, saved)
			r.pauseLeaderLater()
		}
	})
}

// pauseLeaderLater schedules a pause of the leader.
func (r *run) pauseLeaderLater() {
	r.w.schedule(r.w.randomDuration(400*time.Millisecond, time.Second), "pause leader", "", func() {
		if p := r.unpausedLeader(); p != nil && !r.faultsOver {
			r.pause(p, r.w.randomDuration(time.Second, 3*time.Second))
		}
	})
}

// replaceDirectory replaces the data directory of a voter with an earlier copy and restarts the voter.
func (r *run) replaceDirectory(name string, saved *disk) {
	p := r.processes[name]
	p.kill()
	saved.acksEarly, saved.writes = r.disks[name].acksEarly, r.disks[name].writes
	r.disks[name] = saved
	r.setBack[name], r.incomplete[name] = true, r.highestApplied
	r.start(name)
}

// setBackMiddleVoter partitions the voters into two sides and sets back the data directory of the one voter that reaches both. The
// leader's side needs that voter for its majority. After the set-back it lacks what that majority agreed on, and could form another
// majority with the other side, which lacks it too.
func (r *run) setBackMiddleVoter() {
	leader := r.unpausedLeader()
	if !r.votersIntact() || leader == nil || r.conf.Voters < 5 {
		return
	}
	others := slices.DeleteFunc(slices.Clone(r.names[:r.conf.Voters]), func(name string) bool { return name == leader.name })
	r.w.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	middle, saved := others[0], r.disks[others[0]].copy()
	half := (r.conf.Voters - 1) / 2
	var directions []direction
	for _, a := range append([]string{leader.name}, others[1:half]...) {
		for _, b := range others[half:] {
			directions = append(directions, direction{a, b}, direction{b, a})
		}
	}
	r.partition(directions)
	r.propose(r.nextDocument(), func(uint64, error) {})
	r.w.schedule(r.w.randomDuration(100*time.Millisecond, time.Second), "set back", middle, func() {
		p := r.processes[middle]
		if len(r.incomplete) > 0 || p == nil || p.dead || p.paused || p.core == nil || leader.dead || leader.paused {
			return
		}
		r.replaceDirectory(middle, saved)
		r.pauseLeaderLater()
	})
}

// scheduleDiskFault schedules a fault for one of a disk's next four writes.
func (r *run) scheduleDiskFault() {
	name := r.names[r.w.rng.IntN(r.conf.Voters)]
	d := r.disks[name]
	d.faultAt, d.fault = d.writes+1+r.w.rng.IntN(4), diskFaults[r.w.rng.IntN(len(diskFaults))]
	r.diskFaultSet[name] = true
}

// startDuplicate starts a second process under the name of a random member that is not a voter, and kills it after 0.5 to 4 s. With the
// injected bug SameToken it has the first process's token, otherwise one of its own.
func (r *run) startDuplicate() {
	name := r.names[r.conf.Voters+r.w.rng.IntN(max(1, r.conf.Members))%max(1, r.conf.Members)]
	p := r.newProcess(name)
	if first := r.processes[name]; r.bug == SameToken && first != nil {
		p.holder.Self = first.holder.Self
	}
	r.duplicates = append(r.duplicates, p)
	p.heartbeat()
	r.w.schedule(r.w.randomDuration(500*time.Millisecond, 4*time.Second), "twin ends", p.id, p.kill)
}

// killAll kills the processes of the given names.
func (r *run) killAll(names []string) {
	for _, name := range names {
		if p := r.processes[name]; p != nil && !p.dead {
			r.kill(p)
		}
	}
}

// pauseLeadersInTurn pauses the leader of the moment four times, a second apart, each time for 900 ms: about as long as the election of
// the next one takes.
func (r *run) pauseLeadersInTurn() {
	for i := range 4 {
		r.w.schedule(time.Duration(i)*time.Second, "churn", "", func() {
			if p := r.unpausedLeader(); p != nil && !r.faultsOver {
				r.pause(p, 900*time.Millisecond)
			}
		})
	}
}

// healAll ends all faults: partitions, disk faults to come, pauses and duplicates. It starts all processes that do not run.
func (r *run) healAll() {
	clear(r.partitioned)
	r.sendHeld()
	for _, d := range r.disks {
		if !d.faultHit || d.faultAt > d.writes {
			d.faultAt = 0
		}
	}
	for _, p := range r.running() {
		if p.paused {
			p.resume()
		}
	}
	for _, p := range r.duplicates {
		p.kill()
	}
	for _, name := range r.names {
		r.start(name)
	}
	r.w.record(fmt.Sprintf("mended, %d steps", r.w.steps), "")
}
