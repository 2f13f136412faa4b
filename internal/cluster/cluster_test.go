package cluster

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"heathgap/decide"
	"heathgap/internal/versions"
)

// dice draws from 0 up to, but not including, n.
type dice func(n int) int

// bug is planted round the pure parts: what their driver could get wrong.
type bug string

const (
	none          bug = ""
	countsFromNow bug = "the holder counts its lease from the answer"
	noWait        bug = "a new leader takes leases given before it for ended"
	shortWait     bug = "the granter waits for the lease alone, without drift"
	noPrepare     bug = "a version is active at once"
	stoppedClock  bug = "a holder does not see its lease end"
	oldLeader     bug = "a leader that was replaced goes on granting"
	staleMessage  bug = "a holder takes late word for new"
	renewsLeaving bug = "a granter renews the lease of a member whose end is on its way"
)

// model plays several members, leaders that come and go, clocks that differ, and answers that come late or never.
type model struct {
	roll        dice
	bug         bug
	params      Params
	now         time.Duration // true time
	rates       []float64
	holders     []*LeaseHolder
	ledger      *Ledger
	lessor      *Lessor
	oldLessor   *Lessor
	oldLedger   *Ledger
	leaderRate  float64 // rate of its clock
	term        uint64
	pending     *Entry        // proposed, not agreed on yet
	commitAt    time.Duration // when it will be
	inFlight    []delayedAnswer
	stopped     time.Duration
	partitioned int // a member that hears nothing and is not heard
}

type delayedAnswer struct {
	to          int
	requestedAt BootTime
	grant       Grant
}

func newModel(roll dice, b bug) *model {
	m := &model{roll: roll, bug: b, ledger: NewLedger(), leaderRate: 1, stopped: -1,
		params: Params{Lease: time.Second, Drift: 0.1, Slack: 10 * time.Millisecond}}
	own := versions.FromSettings(&decide.Settings{Classes: []decide.Class{{Name: "pay", Effect: decide.Safe}}})
	for i := range 3 {
		m.rates = append(m.rates, 1+m.params.Drift*float64(roll(3)-1))
		m.holders = append(m.holders, NewLeaseHolder(Member{Name: fmt.Sprint("m", i), Token: uint64(i + 1)}, m.params, own, 0))
	}
	m.changeLeader()
	return m
}

func (m *model) boot(i int) BootTime {
	if m.bug == stoppedClock && i == 0 && m.stopped >= 0 {
		return BootTime(float64(m.stopped) * m.rates[i])
	}
	return BootTime(float64(m.now) * m.rates[i])
}

func (m *model) leaderBoot() BootTime { return BootTime(float64(m.now) * m.leaderRate) }

// changeLeader brings a new leader.
func (m *model) changeLeader() {
	m.oldLessor, m.oldLedger = m.lessor, m.ledger.Clone()
	if m.pending != nil && m.roll(2) == 0 { // the next leader has it, else it is lost
		m.ledger.Apply(m.pending)
	}
	m.pending = nil
	m.leaderRate = 1 + m.params.Drift*float64(m.roll(3)-1)
	conf := m.params
	if m.bug == shortWait {
		conf.Drift, conf.Slack = 0, 0
	}
	m.term++
	m.lessor = NewLessor(conf, m.term)
	m.lessor.Due(m.leaderBoot(), m.ledger.Clone()) // it looks at the members at once
	if m.bug == noWait {
		for _, s := range m.lessor.states {
			s.leaseEnd = 0
		}
	}
	// Terms are told by their hash: the planted wait must not show there.
	if m.bug == shortWait {
		for _, h := range m.holders {
			h.params = Params{Lease: m.params.Lease}
		}
	}
}

// step takes one step. Most are small, so that what takes several fits into the time between two leases' ends.
func (m *model) step() {
	m.now += time.Duration(m.roll(15)) * time.Millisecond
	switch m.roll(120) {
	case 0:
		m.now += time.Duration(m.roll(1500)) * time.Millisecond
	case 1, 2:
		m.changeLeader()
	case 3, 4, 5:
		m.partitioned = m.roll(len(m.holders) + 1) // the last one is nobody
	}
	if m.ledger.Next == nil && m.roll(20) == 0 {
		effect := decide.Unsafe
		if m.ledger.Active.Number%2 == 1 {
			effect = decide.Safe
		}
		m.ledger.Apply(&Entry{Propose: &Proposal{ID: uint64(m.roll(1<<30)) + 1, Parent: m.ledger.Active.Number,
			Doc: versions.Document{Classes: map[string]versions.Class{"pay": {Effect: effect}}}}})
	}
	if m.bug == noPrepare && m.ledger.Next != nil && m.ledger.Next.State == Prepared {
		m.ledger.Apply(&Entry{Activate: m.ledger.Next.Number, Epoch: m.ledger.Epoch})
	}
	if m.pending != nil && m.now >= m.commitAt {
		m.ledger.Apply(m.pending)
		m.pending = nil
	}
	if m.pending == nil && m.roll(3) > 0 {
		if due := m.lessor.Due(m.leaderBoot(), m.ledger); len(due) > 0 {
			m.pending, m.commitAt = &due[0], m.now+time.Duration(m.roll(40))*time.Millisecond
		}
	}
	if i := m.roll(len(m.holders)); i != m.partitioned {
		m.renew(i)
		if m.roll(4) > 0 {
			m.deliver(len(m.inFlight) - 1)
		}
	}
	if len(m.inFlight) > 0 && m.roll(8) == 0 {
		m.deliver(m.roll(len(m.inFlight)))
	}
}

func (m *model) renew(i int) {
	r, asked := m.holders[i].NextRenewal(), m.boot(i)
	by, ledger := m.lessor, m.ledger
	if m.bug == oldLeader && m.oldLessor != nil && m.roll(2) == 0 {
		by, ledger = m.oldLessor, m.oldLedger
	}
	if s := by.states[r.Name]; m.bug == renewsLeaving && s != nil {
		s.leaseEnd = max(s.leaseEnd, m.leaderBoot()+1)
	}
	m.inFlight = append(m.inFlight, delayedAnswer{i, asked, by.Renew(m.leaderBoot(), ledger, &r)})
}

// deliver hands over an answer that is on its way, or loses it.
func (m *model) deliver(n int) {
	f := m.inFlight[n]
	m.inFlight = append(m.inFlight[:n], m.inFlight[n+1:]...)
	if m.roll(8) == 0 {
		return
	}
	if m.bug == countsFromNow {
		f.requestedAt = m.boot(f.to)
	}
	if m.bug == staleMessage {
		m.holders[f.to].requestedAt = 0
	}
	m.holders[f.to].HandleGrant(f.requestedAt, &f.grant)
	if f.to == 0 && m.stopped < 0 && f.grant.Granted && m.now > time.Second {
		m.stopped = m.now
	}
}

// check tells whether two members vouch for versions that have none in common: one acts by rules that the other has
// left, or has not come to.
func (m *model) check() error {
	for i, a := range m.holders {
		x := a.Effective(m.boot(i))
		for j, b := range m.holders[:i] {
			y := b.Effective(m.boot(j))
			if x.Cautious || y.Cautious {
				continue
			}
			if x.Active != y.Active && x.Next != y.Active && y.Next != x.Active {
				return fmt.Errorf("at %v m%d acts on %d+%d and m%d on %d+%d", m.now, i, x.Active, x.Next, j, y.Active, y.Next)
			}
		}
	}
	return nil
}

const modelSteps = 400

func TestNoMembersApplyContradictingVersions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		rng := rand.New(rand.NewPCG(seed, 1))
		m := newModel(rng.IntN, none)
		for range modelSteps {
			m.step()
			if err := m.check(); err != nil {
				rt.Fatal(err)
			}
		}
	})
}

// Each planted bug is caught, and versions do come through without one.
func TestModelCatchesInjectedBugs(t *testing.T) {
	const seeds = 4000
	for _, b := range []bug{countsFromNow, noWait, shortWait, noPrepare, stoppedClock, oldLeader, staleMessage, renewsLeaving} {
		found := -1
		for seed := 0; seed < seeds && found < 0; seed++ {
			m := newModel(rand.New(rand.NewPCG(uint64(seed), 2)).IntN, b)
			for range modelSteps {
				if m.step(); m.check() != nil {
					found = seed
					break
				}
			}
		}
		if found < 0 {
			t.Errorf("%s: not found in %d seeds", b, seeds)
		}
		t.Logf("%s: found by seed %d", b, found)
		m := newModel(rand.New(rand.NewPCG(uint64(found), 2)).IntN, none)
		for range modelSteps {
			if m.step(); m.check() != nil {
				t.Fatalf("seed %d fails without the bug: %v", found, m.check())
			}
		}
	}
	versions := uint64(0)
	for seed := range uint64(1000) {
		m := newModel(rand.New(rand.NewPCG(seed, 3)).IntN, none)
		for range modelSteps {
			if m.step(); m.check() != nil {
				t.Fatalf("without a bug, seed %d: %v", seed, m.check())
			}
		}
		versions += m.ledger.Active.Number
	}
	if versions < 300 {
		t.Errorf("%d versions became active in 1000 runs: nothing is shown of those that do not", versions)
	}
}

func propose(id, parent uint64, max int) *Entry {
	return &Entry{Propose: &Proposal{ID: id, Parent: parent, Doc: versions.Document{MaxAttempts: max}}}
}

// Two proposals at once, one said twice, one on an old parent, one that refuses, and conclusions of an older epoch.
func TestLedger(t *testing.T) {
	l := NewLedger()
	must := func(want bool, e *Entry) {
		t.Helper()
		if err := l.Apply(e); (err == nil) != want {
			t.Fatalf("%+v: %v", e, err)
		}
	}
	a, b := Member{Name: "a", Token: 1}, Member{Name: "a", Token: 2}
	must(true, &Entry{Join: []Member{a}})
	must(true, &Entry{Join: []Member{b}}) // the same name twice: the first one stays
	if l.Members["a"] != a || l.Epoch != 1 {
		t.Fatalf("%+v", l)
	}
	must(true, propose(7, 0, 2))
	must(true, propose(7, 0, 2)) // said again
	must(false, propose(8, 0, 3))
	must(false, &Entry{Prepare: 1, Epoch: 0})
	must(true, &Entry{Prepare: 1, Epoch: 1})
	must(false, &Entry{End: &ProposalEnd{1, "late"}, Epoch: 1}) // prepared: it can't end by a refusal any more
	must(true, &Entry{Leave: []Member{b}})                      // not the one that is in
	must(true, &Entry{Activate: 1, Epoch: 1})
	must(false, propose(20, 0, 3)) // its author saw version 0
	must(false, propose(21, 1, 2)) // nothing differs
	must(true, propose(9, 1, 3))
	must(false, propose(10, 1, 4)) // version 2 is under way
	must(true, &Entry{End: &ProposalEnd{2, "m refuses"}, Epoch: 1})
	must(false, propose(10, 1, 4)) // its author was told no: late word of it changes nothing
	if l.LastNumber != 2 || l.Active.Number != 1 || l.Next != nil || len(l.VersionRecords()) != 2 || l.Find(9).State != Refused {
		t.Errorf("%+v", l)
	}
	must(true, &Entry{Leave: []Member{a}})
	if l.Epoch != 2 || len(l.Members) != 0 {
		t.Errorf("%+v", l)
	}
}

// What the granter says no to.
func TestRenewRefuses(t *testing.T) {
	terms := Params{Lease: time.Second}
	l := NewLedger()
	l.Apply(&Entry{Join: []Member{{Name: "a", Token: 1}}})
	g := NewLessor(terms, 0)
	for _, c := range []struct {
		name    string
		r       Renewal
		now     BootTime
		granted bool
		again   bool
	}{
		{"good", Renewal{Member: Member{Name: "a", Token: 1}, Epoch: 1}, 0, true, false},
		{"the same name twice", Renewal{Member: Member{Name: "a", Token: 2}, Epoch: 1}, 0, false, false},
		{"its lease over", Renewal{Member: Member{Name: "a", Token: 2}, Epoch: 1}, 2 * time.Second, false, true},
		{"newcomer", Renewal{Member: Member{Name: "b", Token: 1}}, 0, false, true},
		{"other terms", Renewal{Member: Member{Name: "a", Token: 1}, ParamsHash: "other", Epoch: 1}, 0, false, false},
		{"no name", Renewal{}, 0, false, false},
	} {
		if c.r.ParamsHash == "" {
			c.r.ParamsHash = terms.Hash()
		}
		if got := g.Renew(c.now, l, &c.r); got.Granted != c.granted || got.RetryNow != c.again || (got.Reason == "") != c.granted {
			t.Errorf("%s: %+v", c.name, got)
		}
	}
}

// What a member says under an older epoch is not taken, and its lease is renewed all the same.
func TestReportOfOlderEpochIsIgnored(t *testing.T) {
	terms := Params{Lease: time.Second}
	l := NewLedger()
	l.Apply(&Entry{Join: []Member{{Name: "a", Token: 1}}})
	l.Apply(propose(7, 0, 2))
	g := NewLessor(terms, 0)
	for epoch, due := range []int{0, 1} {
		r := Renewal{Member: Member{Name: "a", Token: 1}, ParamsHash: terms.Hash(), Epoch: uint64(epoch), Checked: 1}
		if got := g.Renew(0, l, &r); !got.Granted || got.Epoch != 1 {
			t.Errorf("said in epoch %d: %+v", epoch, got)
		}
		if got := g.Due(0, l); len(got) != due {
			t.Errorf("said in epoch %d: %+v is due", epoch, got)
		}
	}
}

// Guards against a member that is heard and hears nothing: it held up each version for as long as its questions came. It is
// counted out, and does not come in again before it says an answer back.
func TestMemberWithoutEchoIsRemoved(t *testing.T) {
	terms := Params{Lease: time.Second}
	l := NewLedger()
	l.Apply(&Entry{Join: []Member{{Name: "a", Token: 1}}})
	g := NewLessor(terms, 5)
	r := Renewal{Member: Member{Name: "a", Token: 1}, ParamsHash: terms.Hash(), Epoch: 1}
	now, last := BootTime(time.Second), BootTime(0)
	for ; len(g.Due(now, l)) == 0 && now < 5*time.Second; now += terms.Lease / HeartbeatsPerLease {
		if got := g.Renew(now, l, &r); got.Granted {
			last = now
		}
	}
	if last == 0 || now-last > terms.LessorWait()+terms.Lease/HeartbeatsPerLease {
		t.Fatalf("granted last at %v, counted out at %v", last, now)
	}
	l.Apply(&g.Due(now, l)[0])
	if g.Renew(now, l, &r); len(g.Due(now, l)) > 0 {
		t.Error("it comes in and says nothing back")
	}
	r.LastEcho = g.Renew(now, l, &r).Echo
	if g.Renew(now, l, &r); len(g.Due(now, l)) != 1 {
		t.Error("it hears, and does not come in")
	}
}

// Guards against a process that sends, after a restart, to what was banned while it was away: without a lease, since the
// one of the process before still holds, it keeps the bans all the same.
func TestMemberWithoutLeaseKeepsBans(t *testing.T) {
	terms := Params{Lease: time.Second}
	l := NewLedger()
	l.Apply(&Entry{Join: []Member{{Name: "a", Token: 1}}})
	l.Apply(&Entry{Propose: &Proposal{ID: 1, Doc: versions.Document{Banned: []string{"e"}}}})
	h := NewLeaseHolder(Member{Name: "a", Token: 2}, terms, versions.FromSettings(&decide.Settings{}), 0)
	r := h.NextRenewal()
	grant := NewLessor(terms, 0).Renew(0, l, &r)
	if _, err := h.HandleGrant(0, &grant); err != nil {
		t.Fatal(err)
	}
	if s := h.Effective(1); grant.Granted || !s.Cautious || !s.Rules.Banned["e"] {
		t.Errorf("%+v after %+v", s, grant)
	}
}
