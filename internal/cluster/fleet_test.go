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

// fleet is a leader's ledger and lessor with members that renew eight times a lease, on virtual time. Requests and answers are encoded
// and decoded as on the wire, and their bytes are counted; raft and the network are left out. An entry is committed one tick after
// it became due. A member's replicas are caught up at once.
type fleet struct {
	t       testing.TB
	params  cluster.Params
	now     cluster.BootTime
	ledger  *cluster.Ledger
	lessor  *cluster.Lessor
	pending *cluster.Entry
	members []*fleetMember
	tokens  uint64

	requestBytes, answerBytes int           // bytes of requests to the leader and of its answers
	leaderCPU, memberCPU      time.Duration // processor time
	dueCPU                    time.Duration // the leader's processor time for entries that are due
	entries                   int
	term                      uint64
	alterDelta                func(m *fleetMember, d *holdings.Delta) // if set: alters a delta on its way to the member
	leaderSendsNoDeltas       bool                                    // the leader's build predates deltas
	lastEntryAt               cluster.BootTime                        // when the last entry was applied
}

// fleetMember is a member of a fleet.
type fleetMember struct {
	i               int
	self            cluster.Member
	holder          *cluster.LeaseHolder
	renewer         *cluster.LeaseRenewer
	store           *holdings.Store
	me              holdings.Incarnation
	view            holdings.View    // the newest one applied to its store
	answerBytes     int              // bytes of the answers that it received
	leaveBy         cluster.BootTime // it wants to leave, and does so by then at the latest; 0 if not
	down            bool
	returnsAt       cluster.BootTime // when it starts again, if it is down
	acceptsNoDeltas bool             // its build predates deltas
}

const (
	fleetTicks        = 25 // per heartbeat
	fleetZones        = 5
	fleetDecommission = 4 * time.Second // member.decommissionTimeout
	fleetReturn       = time.Second     // until a process that has left starts again
)

// threadCPUTime returns the processor time that this thread has used.
func threadCPUTime() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts) != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

func newFleet(t testing.TB, members int) *fleet {
	f := &fleet{t: t, now: time.Second, ledger: cluster.NewLedger(), params: cluster.Params{Lease: time.Second, Drift: 0.01, Slack: 200 * time.Millisecond,
		Holdings: clusterparams.Holdings{Copies: 2, Keep: time.Minute, LostAfter: 30 * time.Second}}}
	f.changeLeader()
	for i := range members {
		m := &fleetMember{i: i}
		f.members = append(f.members, m)
		f.start(m)
	}
	f.settle(20 * time.Second)
	return f
}

// changeLeader replaces the leader by one that has just started from a snapshot.
func (f *fleet) changeLeader() {
	f.term++
	f.ledger, f.pending = f.ledger.Clone(), nil
	f.lessor = cluster.NewLessor(f.params, f.term)
}

// check fails the test unless all running members know the ledger's members and placement.
func (f *fleet) check() {
	f.t.Helper()
	want := f.ledger.View()
	for _, m := range f.members {
		got := m.holder.View()
		if !m.down && (got.Epoch != want.Epoch || !slices.Equal(got.Members, want.Members) || !reflect.DeepEqual(got.Placement, want.Placement)) {
			f.t.Fatalf("%s knows %d members of epoch %d and another placement than the ledger, whose epoch is %d with %d members", m.self.Name,
				len(got.Members), got.Epoch, want.Epoch, len(want.Members))
		}
	}
}

// start starts a member's process.
func (f *fleet) start(m *fleetMember) {
	f.tokens++
	zone := m.i % fleetZones
	m.self = cluster.Member{Name: fmt.Sprintf("sidecar-%04d", m.i), Token: 0x9e3779b97f4a7c15 * f.tokens, Zone: fmt.Sprintf("eu-%d%c", 1+zone/3, 'a'+zone),
		Address: fmt.Sprintf("10.%d.%d.%d:7411", 16+zone, m.i/250, m.i%250)}
	m.holder = cluster.NewLeaseHolder(m.self, f.params, versions.FromSettings(&decide.Settings{}), 0)
	m.renewer = cluster.NewLeaseRenewer(m.holder, []string{"k1"})
	m.store = holdings.NewStore(f.params.Holdings, holdings.Limits{MaxEntries: 1 << 16})
	m.view, m.me, m.leaveBy, m.down = holdings.View{}, holdings.Incarnation{}, 0, false
}

// settle runs the fleet until nothing has been due for a second.
func (f *fleet) settle(timeout time.Duration) {
	limit := f.now + timeout
	for f.lastEntryAt = f.now; f.now < f.lastEntryAt+time.Second; f.tick() {
		if f.now > limit {
			f.t.Fatalf("not settled after %v", timeout)
		}
	}
}

func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.tick()
	}
}

// tick advances the time by a fraction of a heartbeat, in which some of the members renew.
func (f *fleet) tick() {
	gap := f.params.Lease / cluster.HeartbeatsPerLease / fleetTicks
	f.now += gap
	for _, m := range f.members[int(f.now/gap)%fleetTicks*len(f.members)/fleetTicks : (int(f.now/gap)%fleetTicks+1)*len(f.members)/fleetTicks] {
		f.heartbeat(m)
	}
	began := threadCPUTime()
	if e := f.pending; e != nil {
		f.pending = nil
		if err := f.ledger.Apply(e); err != nil {
			f.t.Fatal(err)
		}
		f.entries++
		f.lastEntryAt = f.now
	} else if due := f.lessor.Due(f.now, f.ledger); len(due) > 0 {
		f.pending = &due[0]
	}
	f.dueCPU += threadCPUTime() - began
}

func (f *fleet) heartbeat(m *fleetMember) {
	if m.down {
		if f.now < m.returnsAt {
			return
		}
		f.start(m)
	}
	if m.leaveBy > 0 {
		m.holder.Decommissioning = true
		hasReplicas := m.view.Placement != nil && slices.ContainsFunc(m.view.Placement.Shards[:], func(s holdings.Shard) bool {
			return slices.ContainsFunc(s.Replicas, func(r holdings.Replica) bool { return r.Incarnation == m.me })
		})
		if !hasReplicas || f.now > m.leaveBy {
			r := m.holder.NextRenewal()
			r.Leaving = true
			f.renew(m, &r)
			m.down, m.returnsAt = true, f.now+fleetReturn
			return
		}
	}
	m.renewer.StartHeartbeat()
	for {
		m.holder.CaughtUp = m.store.CaughtUp()
		_, r := m.renewer.NextRequest(f.now)
		grant := f.renew(m, &r)
		began := threadCPUTime()
		next := m.renewer.HandleResponse(f.now, grant, "")
		if next.Err != nil {
			f.t.Fatal(next.Err)
		}
		if me, view := m.holder.Incarnation(), m.holder.View(); view.Placement != nil && me != (holdings.Incarnation{}) && (me != m.me || !view.SameAs(&m.view)) {
			m.me, m.view = me, view
			m.store.ApplyView(f.now, me, view.Placement, view.Members)
		}
		f.memberCPU += threadCPUTime() - began
		if !next.RenewNow {
			return
		}
	}
}

// renew passes a renewal to the leader and returns its answer, both encoded and decoded as on the wire.
func (f *fleet) renew(m *fleetMember, r *cluster.Renewal) *cluster.Grant {
	if m.acceptsNoDeltas {
		r.DeltaFormat = 0
	}
	body, err := cbor.Marshal(r)
	if err != nil {
		f.t.Fatal(err)
	}
	text, err := cbor.Marshal(peerrpc.Message{Cluster: "fleet", From: m.self.Name, Body: body})
	if err != nil {
		f.t.Fatal(err)
	}
	f.requestBytes += len(text)
	began := threadCPUTime()
	var message peerrpc.Message
	var received cluster.Renewal
	if err := peerrpc.Decode(text, &message); err != nil {
		f.t.Fatal(err)
	}
	if err := peerrpc.Decode(message.Body, &received); err != nil {
		f.t.Fatal(err)
	}
	if f.leaderSendsNoDeltas {
		received.DeltaFormat = 0
	}
	grant := f.lessor.Renew(f.now, f.ledger, &received)
	answer, err := cbor.Marshal(voter.RenewResult{Grant: &grant})
	if err != nil {
		f.t.Fatal(err)
	}
	if grant.Granted {
		f.lessor.AnswerSent(f.now, &received)
	}
	f.leaderCPU += threadCPUTime() - began
	f.answerBytes += len(answer)
	m.answerBytes += len(answer)
	began = threadCPUTime()
	var renewed voter.RenewResult
	if err := peerrpc.Decode(answer, &renewed); err != nil {
		f.t.Fatal(err)
	}
	f.memberCPU += threadCPUTime() - began
	if f.alterDelta != nil && len(renewed.Grant.Delta) > 0 {
		var d holdings.Delta
		if err := cbor.Unmarshal(renewed.Grant.Delta, &d); err != nil {
			f.t.Fatal(err)
		}
		f.alterDelta(m, &d)
		if renewed.Grant.Delta, err = cbor.Marshal(d); err != nil {
			f.t.Fatal(err)
		}
	}
	return renewed.Grant
}

// resetCounts sets all counts to zero.
func (f *fleet) resetCounts() {
	f.requestBytes, f.answerBytes, f.leaderCPU, f.memberCPU, f.dueCPU, f.entries = 0, 0, 0, 0, 0, 0
	for _, m := range f.members {
		m.answerBytes = 0
	}
}

// findMember returns the index of a member that holds replicas, or of one that does not; -1 if there is none.
func (f *fleet) findMember(holds bool) int {
	return slices.IndexFunc(f.members, func(m *fleetMember) bool {
		return holds == slices.ContainsFunc(f.ledger.Placement.Shards[:], func(s holdings.Shard) bool {
			return slices.ContainsFunc(s.Replicas, func(r holdings.Replica) bool { return r.Name == m.self.Name })
		})
	})
}

// restart makes a member leave regularly and come back.
func (f *fleet) restart(i int) { f.members[i].leaveBy = f.now + fleetDecommission }

// spreadOf returns the minimum, the median and the maximum of the bytes that members received.
func (f *fleet) spreadOf() (least, median, most int) {
	var all []int
	for _, m := range f.members {
		all = append(all, m.answerBytes)
	}
	slices.Sort(all)
	return all[0], all[len(all)/2], all[len(all)-1]
}

// TestMeasureFleet prints what restarts cost the leader and the members. It only measures: run it with -crew.fleet 60,120,240,580.
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
		report := func(what string, seconds float64, rest func() string) {
			_, median, most := f.spreadOf()
			t.Logf("%d members, %s: to a member %.1f KB median, %.1f KB most; a second %.2f and %.2f KB; leader %.1f KB out, %.1f KB/s; "+
				"processor a second: answers %.2f ms, due %.2f ms, a member %.3f ms%s", members, what, kb(median), kb(most),
				kb(median)/seconds, kb(most)/seconds, kb(f.answerBytes),
				kb(f.answerBytes)/seconds, ms(f.leaderCPU)/seconds, ms(f.dueCPU)/seconds, ms(f.memberCPU)/seconds/float64(members), rest())
		}
		f.resetCounts()
		f.run(4 * time.Second)
		idle, idleLeader := float64(f.answerBytes)/4/float64(members), f.leaderCPU/4
		report("nothing happens", 4, func() string { return "" })

		// A member that holds no replicas, and one that does.
		for _, holds := range []bool{false, true} {
			i := f.findMember(holds)
			if i < 0 {
				continue // every member holds replicas
			}
			f.resetCounts()
			began := f.now
			f.restart(i)
			f.run(2 * time.Second)
			f.settle(20 * time.Second)
			seconds := (f.now - began).Seconds()
			report(fmt.Sprintf("one restart, it holds %v", holds), seconds, func() string {
				above := float64(f.answerBytes)/float64(members) - idle*seconds
				return fmt.Sprintf("; above nothing: %.1f KB to a member, %.1f ms of answers; %d entries", above/1000,
					ms(f.leaderCPU)-ms(idleLeader)*seconds, f.entries)
			})
		}

		// A fifth of the members, a zone, is lost at once, and comes back at once.
		f.resetCounts()
		began := f.now
		for i, m := range f.members {
			if i%fleetZones == 0 {
				m.down, m.returnsAt = true, f.now+5*time.Second
			}
		}
		f.run(5 * time.Second)
		f.settle(30 * time.Second)
		report("a zone goes and comes back", (f.now - began).Seconds(), func() string { return fmt.Sprintf("; %d entries", f.entries) })
		f.check()

		f.resetCounts()
		began = f.now
		for n := range *fleetRelease {
			f.restart(n * 7 % members)
			f.run(time.Second)
		}
		seconds := (f.now - began).Seconds()
		report("a restart a second", seconds, func() string {
			_, median, _ := f.spreadOf()
			return fmt.Sprintf("; %d entries; %.2f of 22 KB/s", f.entries, kb(median)/seconds/22)
		})
	}
}

func kb(n int) float64 { return float64(n) / 1000 }

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
