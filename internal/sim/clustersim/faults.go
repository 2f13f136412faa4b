package clustersim

import (
	"fmt"
	"slices"
	"time"

	"heathgap/internal/cluster"
	"heathgap/internal/cluster/voter"
)

// kind is one kind of fault, with how often it is drawn beside the others.
type kind struct {
	name   string
	weight int
	strike func(r *run)
}

func kinds() []kind {
	return []kind{
		{"kill", 6, func(r *run) { r.kill(r.anybody()) }},
		{"kill_leader", 3, func(r *run) { r.kill(r.leader()) }},
		{"stop", 3, (*run).leave},
		{"pause", 4, func(r *run) { r.pause(r.anybody(), r.w.between(50*time.Millisecond, 4*time.Second)) }},
		{"pause_asking", 3, func(r *run) { r.anybody().pauseNext = r.w.between(time.Second, 4*time.Second) }},
		{"pause_leader", 4, func(r *run) { r.pause(r.leader(), r.w.between(50*time.Millisecond, 4*time.Second)) }},
		{"cut", 4, func(r *run) { r.cutOff(r.anybody().name, true, true) }},
		{"hears_only", 3, func(r *run) { r.cutOff(r.anybody().name, false, true) }},
		{"is_heard_only", 3, func(r *run) { r.cutOff(r.anybody().name, true, false) }},
		{"leader_hears_only", 2, func(r *run) { r.cutOff(r.leader().name, false, true) }},
		{"leader_alone", 3, (*run).alone},
		{"halves", 3, (*run).halves},
		{"wipe", 3, (*run).lose},
		{"set_back", 3, (*run).back},
		{"set_back_between", 2, (*run).between},
		{"disk", 4, (*run).spoil},
		{"twin", 2, (*run).twin},
		{"all_keepers", 1, func(r *run) { r.killAll(r.names[:r.conf.Keepers]) }},
		{"everybody", 1, func(r *run) { r.killAll(r.names) }},
		{"leaders_in_turn", 1, (*run).churn},
	}
}

// strike draws a fault, and the time of the next.
func (r *run) strike() {
	if r.calm {
		return
	}
	r.w.after(r.w.between(r.conf.FaultEvery/4, 7*r.conf.FaultEvery/4), "strike", "", r.strike)
	for name := range r.doubt {
		if r.setBack[name] {
			return // it must find the others: nothing is promised else
		}
	}
	all := kinds()
	sum := 0
	for _, k := range all {
		sum += k.weight
	}
	n := r.w.dice.IntN(sum)
	for _, k := range all {
		if n -= k.weight; n < 0 {
			if len(r.all()) > 0 {
				r.w.note("fault "+k.name, "")
				r.result.Faults[k.name]++
				k.strike(r)
			}
			break
		}
	}
}

// anybody draws a process; every other time it is a keeper's.
func (r *run) anybody() *process {
	up := r.all()
	if r.w.chance(0.5) {
		if keepers := slices.DeleteFunc(slices.Clone(up), func(p *process) bool { return p.disk == nil }); len(keepers) > 0 {
			up = keepers
		}
	}
	return up[r.w.dice.IntN(len(up))]
}

// leader is the one that leads, or anybody.
func (r *run) leader() *process {
	if p := r.leads(); p != nil {
		return p
	}
	return r.anybody()
}

func (r *run) pause(p *process, long time.Duration) {
	if p.paused {
		return
	}
	p.pause()
	r.w.after(long, "continue", p.id, func() {
		if p.paused && !p.dead {
			p.resume()
		}
	})
}

// leave ends a process in order: it says so, and is gone a moment later.
func (r *run) leave() {
	p := r.anybody()
	said := p.holder.NextRenewal()
	said.Leaving = true
	call(p, p.seeker.FirstVoter(), "renew", said, 500*time.Millisecond, func(q *process, said cluster.Renewal, reply func(voter.RenewResult)) {
		q.keep(func(c *voter.Core) { c.Renew(said, reply) })
	}, func(voter.RenewResult, bool) {})
	// It asks for nothing any more: the word that it leaves is its last.
	p.leaving = true
	r.w.after(50*time.Millisecond, "exit", p.id, func() {
		if !p.dead {
			r.kill(p)
		}
	})
}

// cutOff cuts the ways of a process, out or in or both.
func (r *run) cutOff(name string, out, in bool) {
	var ways []way
	for _, other := range append([]string{client}, r.names...) {
		if other == name {
			continue
		}
		if out {
			ways = append(ways, way{name, other})
		}
		if in {
			ways = append(ways, way{other, name})
		}
	}
	r.cutWays(ways)
}

// alone cuts whoever leads off from the other keepers, not from members: for a moment it and the next one both lead.
func (r *run) alone() {
	lead := r.leader().name
	var ways []way
	for _, other := range r.names[:r.conf.Keepers] {
		if other != lead {
			ways = append(ways, way{lead, other}, way{other, lead})
		}
	}
	r.cutWays(ways)
	r.w.after(r.w.between(500*time.Millisecond, 1200*time.Millisecond), "propose", "", func() {
		if !r.calm {
			r.propose(r.document(), func(uint64, error) {})
		}
	})
}

// halves cuts the crew in two. One process may see both halves.
func (r *run) halves() {
	var sides [2][]string
	both := r.names[r.w.dice.IntN(r.conf.Keepers)]
	if r.w.chance(0.5) {
		both = ""
	}
	for _, name := range r.names {
		if name != both {
			side := r.w.dice.IntN(2)
			sides[side] = append(sides[side], name)
		}
	}
	var ways []way
	for _, a := range sides[0] {
		for _, b := range sides[1] {
			ways = append(ways, way{a, b}, way{b, a})
		}
	}
	r.cutWays(ways)
}

// cutWays cuts ways for a while. Cuts that meet end with the first: the next fault comes soon.
func (r *run) cutWays(ways []way) {
	for _, w := range ways {
		r.cut[w] = true
	}
	r.w.after(r.w.between(100*time.Millisecond, 4*time.Second), "mend", "", func() {
		for _, w := range ways {
			delete(r.cut, w)
		}
		r.release()
	})
}

// release lets what is held at ways that stand again go on.
func (r *run) release() {
	held := r.held
	r.held = nil
	for _, h := range held {
		if r.cut[h.way] {
			r.held = append(r.held, h)
			continue
		}
		h.arrive()
	}
}

// whole tells whether all keepers' folders are theirs and whole, but for one: only while a majority's are is anything
// promised, and a folder that was set back must find the others.
func (r *run) whole() bool {
	if len(r.doubt) > 0 {
		return false
	}
	for _, name := range r.names[:r.conf.Keepers] {
		p := r.procs[name]
		if p == nil || p.dead || p.paused || p.core == nil {
			return false
		}
	}
	return len(r.cut) == 0 && r.highest > 0
}

// lose empties a keeper's folder, and starts it again.
func (r *run) lose() {
	name := r.names[r.w.dice.IntN(r.conf.Keepers)]
	if !r.whole() {
		return
	}
	r.procs[name].kill()
	r.wipe(name)
	r.startLater(name)
}

// back sets a keeper's folder back to an earlier copy. Soon after, whoever leads may be paused.
func (r *run) back() {
	name := r.names[r.w.dice.IntN(r.conf.Keepers)]
	if !r.whole() {
		return
	}
	folder := r.disks[name].copy()
	r.w.after(r.w.between(200*time.Millisecond, 2*time.Second), "set back", name, func() {
		if r.whole() {
			r.setTo(name, folder)
			r.pauseLater()
		}
	})
}

func (r *run) pauseLater() {
	r.w.after(r.w.between(400*time.Millisecond, time.Second), "pause leader", "", func() {
		if p := r.leads(); p != nil && !r.calm {
			r.pause(p, r.w.between(time.Second, 3*time.Second))
		}
	})
}

// setTo puts a copy in the place of a keeper's folder and starts it with that.
func (r *run) setTo(name string, folder *disk) {
	p := r.procs[name]
	p.kill()
	folder.lies, folder.writes = r.disks[name].lies, r.disks[name].writes
	r.disks[name] = folder
	r.setBack[name], r.doubt[name] = true, r.highest
	r.start(name)
}

// between sets back the folder of the one keeper that sees both sides of a cut: what the leader's side has agreed on rests
// on it, and the other side, which lacks that, is a majority with it.
func (r *run) between() {
	lead := r.leads()
	if !r.whole() || lead == nil || r.conf.Keepers < 5 {
		return
	}
	others := slices.DeleteFunc(slices.Clone(r.names[:r.conf.Keepers]), func(name string) bool { return name == lead.name })
	r.w.dice.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	middle, folder := others[0], r.disks[others[0]].copy()
	half := (r.conf.Keepers - 1) / 2
	var ways []way
	for _, a := range append([]string{lead.name}, others[1:half]...) {
		for _, b := range others[half:] {
			ways = append(ways, way{a, b}, way{b, a})
		}
	}
	r.cutWays(ways)
	r.propose(r.document(), func(uint64, error) {})
	r.w.after(r.w.between(100*time.Millisecond, time.Second), "set back", middle, func() {
		p := r.procs[middle]
		if len(r.doubt) > 0 || p == nil || p.dead || p.paused || p.core == nil || lead.dead || lead.paused {
			return
		}
		r.setTo(middle, folder)
		r.pauseLater()
	})
}

// spoil has one of a disk's next writes fail, or kill.
func (r *run) spoil() {
	name := r.names[r.w.dice.IntN(r.conf.Keepers)]
	d := r.disks[name]
	d.fails, d.trouble = d.writes+1+r.w.dice.IntN(4), troubles[r.w.dice.IntN(len(troubles))]
	r.troubled[name] = true
}

// twin starts a second process under the name of a member, for a while.
func (r *run) twin() {
	name := r.names[r.conf.Keepers+r.w.dice.IntN(max(1, r.conf.Members))%max(1, r.conf.Members)]
	p := r.newProcess(name)
	if first := r.procs[name]; r.bug == SameToken && first != nil {
		p.holder.Self = first.holder.Self
	}
	r.twins = append(r.twins, p)
	p.heartbeat()
	r.w.after(r.w.between(500*time.Millisecond, 4*time.Second), "twin ends", p.id, p.kill)
}

func (r *run) killAll(names []string) {
	for _, name := range names {
		if p := r.procs[name]; p != nil && !p.dead {
			r.kill(p)
		}
	}
}

// churn pauses whoever leads, again and again, for about a new leader's time.
func (r *run) churn() {
	for i := range 4 {
		r.w.after(time.Duration(i)*time.Second, "churn", "", func() {
			if p := r.leads(); p != nil && !r.calm {
				r.pause(p, 900*time.Millisecond)
			}
		})
	}
}

// mend ends all faults.
func (r *run) mend() {
	clear(r.cut)
	r.release()
	for _, d := range r.disks {
		if !d.met || d.fails > d.writes {
			d.fails = 0
		}
	}
	for _, p := range r.all() {
		if p.paused {
			p.resume()
		}
	}
	for _, p := range r.twins {
		p.kill()
	}
	for _, name := range r.names {
		r.start(name)
	}
	r.w.note(fmt.Sprintf("mended, %d steps", r.w.steps), "")
}
