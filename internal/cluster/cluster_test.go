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

// randInt returns a random number from 0 up to, but not including, n.
type randInt func(n int) int

// bug is a fault injected around the pure code: an error that its caller could make.
type bug string

const (
	none          bug = ""
	countsFromNow bug = "the lease holder counts its lease from the answer instead of the request"
	noWait        bug = "a new leader assumes that leases granted before it have ended"
	shortWait     bug = "the lessor waits for the length of the lease, without drift and slack"
	noPrepare     bug = "a version becomes active without waiting for the members"
	stoppedClock  bug = "a lease holder's clock stops, so that its lease does not end"
	oldLeader     bug = "a leader that was replaced goes on granting leases"
	staleMessage  bug = "a lease holder accepts stale answers"
	renewsLeaving bug = "a lessor renews the lease of a member whose removal may already be proposed"
)

// model simulates several members, changes of leader, clocks at different rates, and answers that arrive late or never.
type model struct {
	intn           randInt
	bug            bug
	params         Params
	now            time.Duration // simulated time
	rates          []float64
	holders        []*LeaseHolder
	ledger         *Ledger
	lessor         *Lessor
	oldLessor      *Lessor
	oldLedger      *Ledger
	leaderRate     float64 // of the leader's clock
	term           uint64
	pending        *Entry        // proposed, not committed yet
	commitAt       time.Duration // when pending is committed
	inFlight       []delayedAnswer
	clockStoppedAt time.Duration
	partitioned    int // index of the member that can neither send nor receive
}

type delayedAnswer struct {
	to          int
	requestedAt BootTime
	grant       Grant
}

func newModel(intn randInt, injected bug) *model {
	m := &model{intn: intn, bug: injected, ledger: NewLedger(), leaderRate: 1, clockStoppedAt: -1,
		params: Params{Lease: time.Second, Drift: 0.1, Slack: 10 * time.Millisecond}}
	own := versions.FromSettings(&decide.Settings{Classes: []decide.Class{{Name: "pay", Effect: decide.Safe}}})
	for i := range 3 {
		m.rates = append(m.rates, 1+m.params.Drift*float64(intn(3)-1))
		m.holders = append(m.holders, NewLeaseHolder(Member{Name: fmt.Sprint("m", i), Token: uint64(i + 1)}, m.params, own, 0))
	}
	m.changeLeader()
	return m
}

func (m *model) boot(i int) BootTime {
	if m.bug == stoppedClock && i == 0 && m.clockStoppedAt >= 0 {
		return BootTime(float64(m.clockStoppedAt) * m.rates[i])
	}
	return BootTime(float64(m.now) * m.rates[i])
}

func (m *model) leaderBoot() BootTime { return BootTime(float64(m.now) * m.leaderRate) }

// changeLeader replaces the leader by a new one.
func (m *model) changeLeader() {
	m.oldLessor, m.oldLedger = m.lessor, m.ledger.Clone()
	if m.pending != nil && m.intn(2) == 0 { // the next leader has the entry; otherwise it is lost
		m.ledger.Apply(m.pending)
	}
	m.pending = nil
	m.leaderRate = 1 + m.params.Drift*float64(m.intn(3)-1)
	conf := m.params
	if m.bug == shortWait {
		conf.Drift, conf.Slack = 0, 0
	}
	m.term++
	m.lessor = NewLessor(conf, m.term)
	m.lessor.Due(m.leaderBoot(), m.ledger.Clone()) // a new leader checks all members at once
	if m.bug == noWait {
		for _, s := range m.lessor.states {
			s.leaseEnd = 0
		}
	}
	// Members and leader compare the hashes of their parameters: the injected wait must not change the hash.
	if m.bug == shortWait {
		for _, h := range m.holders {
			h.params = Params{Lease: m.params.Lease}
		}
	}
}

// step makes one step. Most steps are short, so that sequences of several fit between the ends of two leases.
func (m *model) step() {
	m.now += time.Duration(m.intn(15)) * time.Millisecond
	switch m.intn(120) {
	case 0:
		m.now += time.Duration(m.intn(1500)) * time.Millisecond
	case 1, 2:
		m.changeLeader()
	case 3, 4, 5:
		m.partitioned = m.intn(len(m.holders) + 1) // the last value stands for no member
	}
	if m.ledger.Next == nil && m.intn(20) == 0 {
		effect := decide.Unsafe
		if m.ledger.Active.Number%2 == 1 {
			effect = decide.Safe
		}
		m.ledger.Apply(&Entry{Propose: &Proposal{ID: uint64(m.intn(1<<30)) + 1, Parent: m.ledger.Active.Number,
			Doc: versions.Document{Classes: map[string]versions.Class{"pay": {Effect: effect}}}}})
	}
	if m.bug == noPrepare && m.ledger.Next != nil && m.ledger.Next.State == Prepared {
		m.ledger.Apply(&Entry{Activate: m.ledger.Next.Number, Epoch: m.ledger.Epoch})
	}
	if m.pending != nil && m.now >= m.commitAt {
		m.ledger.Apply(m.pending)
		m.pending = nil
	}
	if m.pending == nil && m.intn(3) > 0 {
		if due := m.lessor.Due(m.leaderBoot(), m.ledger); len(due) > 0 {
			m.pending, m.commitAt = &due[0], m.now+time.Duration(m.intn(40))*time.Millisecond
		}
	}
	if i := m.intn(len(m.holders)); i != m.partitioned {
		m.renew(i)
		if m.intn(4) > 0 {
			m.deliver(len(m.inFlight) - 1)
		}
	}
	if len(m.inFlight) > 0 && m.intn(8) == 0 {
		m.deliver(m.intn(len(m.inFlight)))
	}
}

func (m *model) renew(i int) {
	r, requestedAt := m.holders[i].NextRenewal(), m.boot(i)
	lessor, ledger := m.lessor, m.ledger
	if m.bug == oldLeader && m.oldLessor != nil && m.intn(2) == 0 {
		lessor, ledger = m.oldLessor, m.oldLedger
	}
	if s := lessor.states[r.Name]; m.bug == renewsLeaving && s != nil {
		s.leaseEnd = max(s.leaseEnd, m.leaderBoot()+1)
	}
	m.inFlight = append(m.inFlight, delayedAnswer{i, requestedAt, lessor.Renew(m.leaderBoot(), ledger, &r)})
}

// deliver delivers a delayed answer, or loses it.
func (m *model) deliver(n int) {
	answer := m.inFlight[n]
	m.inFlight = append(m.inFlight[:n], m.inFlight[n+1:]...)
	if m.intn(8) == 0 {
		return
	}
	if m.bug == countsFromNow {
		answer.requestedAt = m.boot(answer.to)
	}
	if m.bug == staleMessage {
		m.holders[answer.to].requestedAt = 0
	}
	m.holders[answer.to].HandleGrant(answer.requestedAt, &answer.grant)
	if answer.to == 0 && m.clockStoppedAt < 0 && answer.grant.Granted && m.now > time.Second {
		m.clockStoppedAt = m.now
	}
}

// check returns an error if two members with valid leases apply contradicting versions: one applies a version that the other has
// already left or not reached yet.
func (m *model) check() error {
	for i, a := range m.holders {
		x := a.Effective(m.boot(i))
		for j, b := range m.holders[:i] {
			y := b.Effective(m.boot(j))
			if x.Cautious || y.Cautious {
				continue
			}
			if x.Active != y.Active && x.Next != y.Active && y.Next != x.Active {
				return fmt.Errorf("at %v m%d applies versions %d+%d and m%d applies %d+%d", m.now, i, x.Active, x.Next, j, y.Active, y.Next)
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

// Each injected bug is found, and versions do become active without one.
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
		t.Errorf("only %d versions became active in 1000 runs: too few to test changes of version", versions)
	}
}

func propose(id, parent uint64, maxAttempts int) *Entry {
	return &Entry{Propose: &Proposal{ID: id, Parent: parent, Doc: versions.Document{MaxAttempts: maxAttempts}}}
}

// Two proposals at once, a proposal sent twice, one with an outdated parent, one that is refused, and entries of an older epoch.
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
	must(true, propose(7, 0, 2)) // sent again
	must(false, propose(8, 0, 3))
	must(false, &Entry{Prepare: 1, Epoch: 0})
	must(true, &Entry{Prepare: 1, Epoch: 1})
	must(false, &Entry{End: &ProposalEnd{1, "late"}, Epoch: 1}) // prepared: it can't be refused any more
	must(true, &Entry{Leave: []Member{b}})                      // not the process that is a member
	must(true, &Entry{Activate: 1, Epoch: 1})
	must(false, propose(20, 0, 3)) // its author saw version 0
	must(false, propose(21, 1, 2)) // no difference from the active version
	must(true, propose(9, 1, 3))
	must(false, propose(10, 1, 4)) // version 2 is in progress
	must(true, &Entry{End: &ProposalEnd{2, "m refuses"}, Epoch: 1})
	must(false, propose(10, 1, 4)) // it was rejected before: a delayed copy changes nothing
	if l.LastNumber != 2 || l.Active.Number != 1 || l.Next != nil || len(l.VersionRecords()) != 2 || l.Find(9).State != Refused {
		t.Errorf("%+v", l)
	}
	must(true, &Entry{Leave: []Member{a}})
	if l.Epoch != 2 || len(l.Members) != 0 {
		t.Errorf("%+v", l)
	}
}

// Requests that the lessor refuses.
func TestRenewRefuses(t *testing.T) {
	params := Params{Lease: time.Second}
	l := NewLedger()
	l.Apply(&Entry{Join: []Member{{Name: "a", Token: 1}}})
	lessor := NewLessor(params, 0)
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
			c.r.ParamsHash = params.Hash()
		}
		if got := lessor.Renew(c.now, l, &c.r); got.Granted != c.granted || got.RetryNow != c.again || (got.Reason == "") != c.granted {
			t.Errorf("%s: %+v", c.name, got)
		}
	}
}

// What a member reports under an older epoch is ignored, but its lease is renewed.
func TestReportOfOlderEpochIsIgnored(t *testing.T) {
	params := Params{Lease: time.Second}
	l := NewLedger()
	l.Apply(&Entry{Join: []Member{{Name: "a", Token: 1}}})
	l.Apply(propose(7, 0, 2))
	lessor := NewLessor(params, 0)
	for epoch, due := range []int{0, 1} {
		r := Renewal{Member: Member{Name: "a", Token: 1}, ParamsHash: params.Hash(), Epoch: uint64(epoch), Checked: 1}
		if got := lessor.Renew(0, l, &r); !got.Granted || got.Epoch != 1 {
			t.Errorf("reported in epoch %d: %+v", epoch, got)
		}
		if got := lessor.Due(0, l); len(got) != due {
			t.Errorf("reported in epoch %d: %+v is due", epoch, got)
		}
	}
}

// Guards against a member that does not receive answers but whose renewals arrive: it delayed each version for as long as its renewals
// came. It is removed from the cluster, and does not join again before it sends back an echo.
func TestMemberWithoutEchoIsRemoved(t *testing.T) {
	params := Params{Lease: time.Second}
	l := NewLedger()
	l.Apply(&Entry{Join: []Member{{Name: "a", Token: 1}}})
	lessor := NewLessor(params, 5)
	r := Renewal{Member: Member{Name: "a", Token: 1}, ParamsHash: params.Hash(), Epoch: 1}
	now, last := BootTime(time.Second), BootTime(0)
	for ; len(lessor.Due(now, l)) == 0 && now < 5*time.Second; now += params.Lease / HeartbeatsPerLease {
		if got := lessor.Renew(now, l, &r); got.Granted {
			last = now
		}
	}
	if last == 0 || now-last > params.LessorWait()+params.Lease/HeartbeatsPerLease {
		t.Fatalf("last granted at %v, removed from the cluster at %v", last, now)
	}
	l.Apply(&lessor.Due(now, l)[0])
	if lessor.Renew(now, l, &r); len(lessor.Due(now, l)) > 0 {
		t.Error("the member joins again although it has sent back no echo")
	}
	r.LastEcho = lessor.Renew(now, l, &r).Echo
	if lessor.Renew(now, l, &r); len(lessor.Due(now, l)) != 1 {
		t.Error("the member has sent back an echo and does not join")
	}
}

// Guards against a process that sends, after a restart, to endpoints that were banned while it was down. It gets no lease, because
// the lease of the process before is still valid, but it applies the bans.
func TestMemberWithoutLeaseKeepsBans(t *testing.T) {
	params := Params{Lease: time.Second}
	l := NewLedger()
	l.Apply(&Entry{Join: []Member{{Name: "a", Token: 1}}})
	l.Apply(&Entry{Propose: &Proposal{ID: 1, Doc: versions.Document{Banned: []string{"e"}}}})
	h := NewLeaseHolder(Member{Name: "a", Token: 2}, params, versions.FromSettings(&decide.Settings{}), 0)
	r := h.NextRenewal()
	grant := NewLessor(params, 0).Renew(0, l, &r)
	if _, err := h.HandleGrant(0, &grant); err != nil {
		t.Fatal(err)
	}
	if s := h.Effective(1); grant.Granted || !s.Cautious || !s.Rules.Banned["e"] {
		t.Errorf("%+v after %+v", s, grant)
	}
}
