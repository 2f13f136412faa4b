package cluster_test

import (
	"flag"
	"fmt"
	"reflect"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sys/unix"

	"heathgap/decide"
	"heathgap/internal/cluster"
	"heathgap/internal/cluster/voter"
	"heathgap/internal/clusterparams"
	"heathgap/internal/holdings"
	"heathgap/internal/peerrpc"
	"heathgap/internal/versions"
)

var (
	fleetSizes   = flag.String("crew.fleet", "", "measure fleets of so many members, by commas")
	fleetRelease = flag.Int("crew.release", 20, "seconds of a release with one restart a second")
)

// fleet is one leader's ledger and granter with members that ask it, eight times a lease, on virtual time. What they say is coded and
// decoded as on the wire, and the bytes are counted; raft and the network are not there. An entry is agreed on one tick after it
// was due. A member's copies are filled at once.
type fleet struct {
	t       testing.TB
	terms   cluster.Params
	now     cluster.BootTime
	ledger  *cluster.Ledger
	granter *cluster.Lessor
	pending *cluster.Entry
	all     []*fellow
	tokens  uint64

	asked, told    int           // bytes of questions, and of answers
	leader, member time.Duration // processor time
	planning       time.Duration // of the leader's, what is due
	entries        int
	term           uint64
	spoil          func(m *fellow, d *holdings.Delta) // where set: what befalls a delta on its way
	oldLeader      bool                               // the leader's build tells no changes
	last           cluster.BootTime                   // when the last entry was applied
}

// fellow is a member of a fleet.
type fellow struct {
	i       int
	self    cluster.Member
	holder  *cluster.LeaseHolder
	seeker  *cluster.LeaseRenewer
	store   *holdings.Store
	me      holdings.Incarnation
	view    holdings.View    // as its store has learnt it
	told    int              // bytes of answers
	leaveBy cluster.BootTime // it wants to leave, and does so by then; 0 for not
	down    bool
	comes   cluster.BootTime // again, when it is down
	old     bool             // its build takes no changes
}

const (
	fleetTicks  = 25 // of a heartbeat
	fleetZones  = 5
	fleetMove   = 4 * time.Second // member.moveTime
	fleetReturn = time.Second     // until a process that has left is there again
)

// processor is the time that this thread has had on one.
func processor() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts) != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

func newFleet(t testing.TB, members int) *fleet {
	f := &fleet{t: t, now: time.Second, ledger: cluster.NewLedger(), terms: cluster.Params{Lease: time.Second, Drift: 0.01, Slack: 200 * time.Millisecond,
		Holdings: clusterparams.Holdings{Copies: 2, Keep: time.Minute, LostAfter: 30 * time.Second}}}
	f.lead()
	for i := range members {
		m := &fellow{i: i}
		f.all = append(f.all, m)
		f.start(m)
	}
	f.settle(20 * time.Second)
	return f
}

// lead brings another leader, which began from a snapshot a moment ago.
func (f *fleet) lead() {
	f.term++
	f.ledger, f.pending = f.ledger.Clone(), nil
	f.granter = cluster.NewLessor(f.terms, f.term)
}

// check tells whether all members that are up know the ledger's members and placement.
func (f *fleet) check() {
	f.t.Helper()
	want := f.ledger.View()
	for _, m := range f.all {
		got := m.holder.View()
		if !m.down && (got.Epoch != want.Epoch || !slices.Equal(got.Members, want.Members) || !reflect.DeepEqual(got.Placement, want.Placement)) {
			f.t.Fatalf("%s knows %d members of epoch %d and another placement than the ledger, whose epoch is %d with %d members", m.self.Name,
				len(got.Members), got.Epoch, want.Epoch, len(want.Members))
		}
	}
}

// start starts a member's process.
func (f *fleet) start(m *fellow) {
	f.tokens++
	zone := m.i % fleetZones
	m.self = cluster.Member{Name: fmt.Sprintf("sidecar-%04d", m.i), Token: 0x9e3779b97f4a7c15 * f.tokens, Zone: fmt.Sprintf("eu-%d%c", 1+zone/3, 'a'+zone),
		Address: fmt.Sprintf("10.%d.%d.%d:7411", 16+zone, m.i/250, m.i%250)}
	m.holder = cluster.NewLeaseHolder(m.self, f.terms, versions.FromSettings(&decide.Settings{}), 0)
	m.seeker = cluster.NewLeaseRenewer(m.holder, []string{"k1"})
	m.store = holdings.NewStore(f.terms.Holdings, 1<<16)
	m.view, m.me, m.leaveBy, m.down = holdings.View{}, holdings.Incarnation{}, 0, false
}

// settle lets a fleet go on until nothing has been due for a second.
func (f *fleet) settle(most time.Duration) {
	limit := f.now + most
	for f.last = f.now; f.now < f.last+time.Second; f.tick() {
		if f.now > limit {
			f.t.Fatalf("not settled after %v", most)
		}
	}
}

func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.tick()
	}
}

// tick is a moment in which a part of the members asks.
func (f *fleet) tick() {
	gap := f.terms.Lease / cluster.HeartbeatsPerLease / fleetTicks
	f.now += gap
	for _, m := range f.all[int(f.now/gap)%fleetTicks*len(f.all)/fleetTicks : (int(f.now/gap)%fleetTicks+1)*len(f.all)/fleetTicks] {
		f.heartbeat(m)
	}
	began := processor()
	if e := f.pending; e != nil {
		f.pending = nil
		if err := f.ledger.Apply(e); err != nil {
			f.t.Fatal(err)
		}
		f.entries++
		f.last = f.now
	} else if due := f.granter.Due(f.now, f.ledger); len(due) > 0 {
		f.pending = &due[0]
	}
	f.planning += processor() - began
}

func (f *fleet) heartbeat(m *fellow) {
	if m.down {
		if f.now < m.comes {
			return
		}
		f.start(m)
	}
	if m.leaveBy > 0 {
		m.holder.Decommissioning = true
		held := m.view.Placement != nil && slices.ContainsFunc(m.view.Placement.Shards[:], func(s holdings.Shard) bool {
			return slices.ContainsFunc(s.Replicas, func(r holdings.Replica) bool { return r.Incarnation == m.me })
		})
		if !held || f.now > m.leaveBy {
			r := m.holder.NextRenewal()
			r.Leaving = true
			f.renew(m, &r)
			m.down, m.comes = true, f.now+fleetReturn
			return
		}
	}
	m.seeker.StartHeartbeat()
	for {
		m.holder.CaughtUp = m.store.CaughtUp()
		_, r := m.seeker.NextRequest(f.now)
		grant := f.renew(m, &r)
		began := processor()
		next := m.seeker.HandleResponse(f.now, grant, "")
		if next.Err != nil {
			f.t.Fatal(next.Err)
		}
		if me, view := m.holder.Incarnation(), m.holder.View(); view.Placement != nil && me != (holdings.Incarnation{}) && (me != m.me || !view.Is(&m.view)) {
			m.me, m.view = me, view
			m.store.ApplyView(f.now, me, view.Placement, view.Members)
		}
		f.member += processor() - began
		if !next.RenewNow {
			return
		}
	}
}

// renew has the leader answer, over the wire.
func (f *fleet) renew(m *fellow, r *cluster.Renewal) *cluster.Grant {
	if m.old {
		r.Takes = 0
	}
	body, err := cbor.Marshal(r)
	if err != nil {
		f.t.Fatal(err)
	}
	text, err := cbor.Marshal(peerrpc.Message{Cluster: "fleet", From: m.self.Name, Body: body})
	if err != nil {
		f.t.Fatal(err)
	}
	f.asked += len(text)
	began := processor()
	var message peerrpc.Message
	var heard cluster.Renewal
	if err := peerrpc.Decode(text, &message); err != nil {
		f.t.Fatal(err)
	}
	if err := peerrpc.Decode(message.Body, &heard); err != nil {
		f.t.Fatal(err)
	}
	if f.oldLeader {
		heard.Takes = 0
	}
	grant := f.granter.Renew(f.now, f.ledger, &heard)
	answer, err := cbor.Marshal(voter.RenewResult{Grant: &grant})
	if err != nil {
		f.t.Fatal(err)
	}
	if grant.Granted {
		f.granter.AnswerSent(f.now, &heard)
	}
	f.leader += processor() - began
	f.told += len(answer)
	m.told += len(answer)
	began = processor()
	var renewed voter.RenewResult
	if err := peerrpc.Decode(answer, &renewed); err != nil {
		f.t.Fatal(err)
	}
	f.member += processor() - began
	if f.spoil != nil && len(renewed.Grant.Delta) > 0 {
		var d holdings.Delta
		if err := cbor.Unmarshal(renewed.Grant.Delta, &d); err != nil {
			f.t.Fatal(err)
		}
		f.spoil(m, &d)
		if renewed.Grant.Delta, err = cbor.Marshal(d); err != nil {
			f.t.Fatal(err)
		}
	}
	return renewed.Grant
}

// clear begins to count anew.
func (f *fleet) clear() {
	f.asked, f.told, f.leader, f.member, f.planning, f.entries = 0, 0, 0, 0, 0, 0
	for _, m := range f.all {
		m.told = 0
	}
}

// holder is a member that holds something, or one that does not.
func (f *fleet) holder(holds bool) int {
	return slices.IndexFunc(f.all, func(m *fellow) bool {
		return holds == slices.ContainsFunc(f.ledger.Placement.Shards[:], func(s holdings.Shard) bool {
			return slices.ContainsFunc(s.Replicas, func(r holdings.Replica) bool { return r.Name == m.self.Name })
		})
	})
}

// restart has a member leave in order and come back.
func (f *fleet) restart(i int) { f.all[i].leaveBy = f.now + fleetMove }

// spreadOf tells the least, the median and the most of what members were told.
func (f *fleet) spreadOf() (least, median, most int) {
	var all []int
	for _, m := range f.all {
		all = append(all, m.told)
	}
	slices.Sort(all)
	return all[0], all[len(all)/2], all[len(all)-1]
}

// TestMeasureFleet prints what restarts cost the leader and the members. It is for figures: run it with -crew.fleet 60,120,240,580.
func TestMeasureFleet(t *testing.T) {
	if *fleetSizes == "" {
		t.Skip("run with -crew.fleet")
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for _, text := range strings.Split(*fleetSizes, ",") {
		members, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		f := newFleet(t, members)
		say := func(what string, seconds float64, rest func() string) {
			_, median, most := f.spreadOf()
			t.Logf("%d members, %s: to a member %.1f KB median, %.1f KB most; a second %.2f and %.2f KB; leader %.1f KB out, %.1f KB/s; "+
				"processor a second: answers %.2f ms, due %.2f ms, a member %.3f ms%s", members, what, kb(median), kb(most),
				kb(median)/seconds, kb(most)/seconds, kb(f.told),
				kb(f.told)/seconds, ms(f.leader)/seconds, ms(f.planning)/seconds, ms(f.member)/seconds/float64(members), rest())
		}
		f.clear()
		f.run(4 * time.Second)
		idle, idleLeader := float64(f.told)/4/float64(members), f.leader/4
		say("nothing happens", 4, func() string { return "" })

		// A member that holds nothing, and one that does.
		for _, holds := range []bool{false, true} {
			i := f.holder(holds)
			if i < 0 {
				continue // all do
			}
			f.clear()
			began := f.now
			f.restart(i)
			f.run(2 * time.Second)
			f.settle(20 * time.Second)
			seconds := (f.now - began).Seconds()
			say(fmt.Sprintf("one restart, it holds %v", holds), seconds, func() string {
				above := float64(f.told)/float64(members) - idle*seconds
				return fmt.Sprintf("; above nothing: %.1f KB to a member, %.1f ms of answers; %d entries", above/1000,
					ms(f.leader)-ms(idleLeader)*seconds, f.entries)
			})
		}

		// A fifth of them is lost at once, and comes back at once.
		f.clear()
		began := f.now
		for i, m := range f.all {
			if i%fleetZones == 0 {
				m.down, m.comes = true, f.now+5*time.Second
			}
		}
		f.run(5 * time.Second)
		f.settle(30 * time.Second)
		say("a zone goes and comes back", (f.now - began).Seconds(), func() string { return fmt.Sprintf("; %d entries", f.entries) })
		f.check()

		f.clear()
		began = f.now
		for n := range *fleetRelease {
			f.restart(n * 7 % members)
			f.run(time.Second)
		}
		seconds := (f.now - began).Seconds()
		say("a restart a second", seconds, func() string {
			_, median, _ := f.spreadOf()
			return fmt.Sprintf("; %d entries; %.2f of 22 KB/s", f.entries, kb(median)/seconds/22)
		})
	}
}

func kb(n int) float64 { return float64(n) / 1000 }

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
