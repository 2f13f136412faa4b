package holdings

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"
)

// Two sidecars that hold all shards for each other, and their lease in the tests of this file.
var (
	firstSidecar  = Member{Incarnation: Incarnation{Name: "m1", JoinEpoch: 1}, Token: 1, Zone: "a"}
	secondSidecar = Member{Incarnation: Incarnation{Name: "m2", JoinEpoch: 2}, Token: 2, Zone: "b"}
)

const longLease = time.Hour

// pairOfStores returns a primary of all shards and their backup.
func pairOfStores(params Params, primary, backup Limits) (first, second *Store) {
	members := []Member{firstSidecar, secondSidecar}
	placement := &Placement{Number: 1}
	for i := range placement.Shards {
		placement.Shards[i] = Shard{Config: 1, Replicas: []Replica{
			{Incarnation: firstSidecar.Incarnation, Token: firstSidecar.Token, Ready: true},
			{Incarnation: secondSidecar.Incarnation, Token: secondSidecar.Token, Ready: true},
		}}
	}
	first, second = NewStore(params, primary), NewStore(params, backup)
	for store, me := range map[*Store]Incarnation{first: firstSidecar.Incarnation, second: secondSidecar.Incarnation} {
		store.ApplyView(0, me, placement, members)
		store.SetLease(longLease)
	}
	return first, second
}

// exchange carries the batches of a primary to its backup until there are no more.
func exchange(now BootTime, primary, backup *Store) {
	for b := primary.NextBatch(now, backup.me); b != nil; b = primary.NextBatch(now, backup.me) {
		primary.BatchDone(now, backup.me, b, backup.HandleBatch(now, copyOfBatch(b)))
	}
}

// copyOfBatch returns a batch as it comes from the network: with texts and bodies of its own.
func copyOfBatch(b *Batch) *Batch {
	out := &Batch{To: b.To}
	for _, u := range b.Updates {
		copied := Update{Shard: u.Shard, State: u.State}
		for _, e := range u.Entries {
			e.Key = Key{strings.Clone(e.Key.Class), strings.Clone(e.Key.Tenant), strings.Clone(e.Key.Text)}
			e.Owner.Name = strings.Clone(e.Owner.Name)
			if o := e.Outcome; o != nil {
				e.Outcome = &Outcome{strings.Clone(o.Type), strings.Clone(o.Encoding), append(make([]byte, 0, len(o.Body)), o.Body...), o.TooLong}
			}
			copied.Entries = append(copied.Entries, e)
		}
		out.Updates = append(out.Updates, copied)
	}
	return out
}

// ask has the primary execute a command and returns its answer.
func ask(now BootTime, primary, backup *Store, c *Command) Answer {
	answer := Answer{Kind: AnswerNone}
	primary.Handle(now, c, func(a Answer) { answer = a })
	exchange(now, primary, backup)
	return answer
}

// claimOf returns the command that claims a key, with texts of its own.
func claimOf(key string, claim uint64) *Command {
	return &Command{Op: OpClaim, Key: Key{strings.Clone("order"), "", strings.Clone(key)}, Owner: Incarnation{strings.Clone("m1"), 1}, Claim: claim, Lifetime: time.Second}
}

// finishOf returns the command that records an outcome for a claim.
func finishOf(c *Command, body int) *Command {
	finish := *c
	finish.Op, finish.Outcome = OpFinish, &Outcome{Type: strings.Clone("text/plain"), Body: make([]byte, body)}
	return &finish
}

var memoryParams = Params{Copies: 2, Keep: time.Minute}

// Guards against a process that is killed for what it holds, which loses all of it: neither on the primary nor on a backup do entries take
// more than their bound, whatever keys and answers come. Known keys are still answered then, the answers are told again, and once they have
// been kept for long enough there is room for others.
func TestEntriesKeepToTheirMemory(t *testing.T) {
	for name, c := range map[string]struct {
		key  int // bytes
		body func(random *rand.Rand) int
	}{
		"long answers":  {20, func(*rand.Rand) int { return 16 << 10 }},
		"mixed answers": {20, func(random *rand.Rand) int { return random.IntN(2) * 16000 }},
		"small answers": {20, func(*rand.Rand) int { return 20 }},
		"long keys":     {MaxName, func(*rand.Rand) int { return 0 }},
	} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 1))
			limits := Limits{MaxEntries: 1 << 20, MaxMemory: 8 << 20, MaxBody: 16 << 10}
			primary, backup := pairOfStores(memoryParams, limits, limits)
			told := map[string]int{}
			full, claims := 0, uint64(0)
			for ; full < 10_000; claims++ {
				claim := claimOf(fmt.Sprintf("%0*d", c.key, claims), claims)
				switch answer := ask(0, primary, backup, claim); answer.Kind {
				case AnswerFull:
					full++
					continue
				case AnswerOK:
				default:
					t.Fatalf("claim %d: %v", claims, answer.Kind)
				}
				body := c.body(random)
				if answer := ask(0, primary, backup, finishOf(claim, body)); answer.Kind != AnswerOK {
					t.Fatalf("the outcome of claim %d, which has reserved room, is answered %v", claims, answer.Kind)
				}
				told[claim.Key.Text] = body
				if got := max(primary.Memory, backup.Memory); got > limits.MaxMemory {
					t.Fatalf("%d bytes after %d claims, %d are allowed", got, claims, limits.MaxMemory)
				}
			}
			if used := primary.Memory; used < limits.MaxMemory-2*MinMemory(limits.MaxBody)/minClaims {
				t.Errorf("claims are rejected with %d of %d bytes in use", used, limits.MaxMemory)
			}
			for key, body := range told {
				answer := ask(0, primary, backup, claimOf(key, claims))
				if answer.Kind != AnswerFinished || len(answer.Outcome.Body) != body {
					t.Fatalf("key %s, whose answer was told, is answered %v", key, answer.Kind)
				}
			}
			later := memoryParams.Keep + backupGrace
			for range NumShards {
				primary.Tick(later)
				backup.Tick(later)
				later += sweepInterval
			}
			if primary.Memory != 0 || backup.Memory != 0 || primary.Entries != 0 {
				t.Errorf("%d and %d bytes are counted once all entries have expired", primary.Memory, backup.Memory)
			}
			ask(later, primary, backup, claimOf("new", claims)) // it may find out that the backup has room
			if answer := ask(later, primary, backup, claimOf("new", claims)); answer.Kind != AnswerOK {
				t.Errorf("a claim is answered %v once there is room", answer.Kind)
			}
		})
	}
}

// Guards against a bound that means something else than the memory that runs out: what is counted for entries covers what Go needs for them,
// and is not far above it.
func TestCountedMemoryCoversWhatEntriesTake(t *testing.T) {
	const leastUse = 0.45 // of what is counted: slots of maps and size classes vary by that much
	for _, c := range []struct{ key, body, entries int }{
		{1, 0, 60_000}, {20, 20, 60_000}, {MaxName, 20, 30_000}, {20, 200, 40_000}, {20, 1000, 20_000}, {20, 4097, 4000},
		{20, 16_000, 2000}, {20, 33_000, 1000}, {20, MaxBody, 500},
	} {
		t.Run(fmt.Sprintf("keys of %d bytes, answers of %d", c.key, c.body), func(t *testing.T) {
			limits := Limits{MaxEntries: 1 << 24, MaxBody: MaxBody}
			primary, backup := pairOfStores(memoryParams, limits, limits)
			measure := func(store *Store, fill func()) {
				t.Helper()
				before := heapInUse()
				fill()
				took := heapInUse() - before
				share := float64(took) / float64(store.Memory)
				t.Logf("%d entries take %d bytes, %.2f of what is counted", store.Entries, took, share)
				if share > 1 || share < leastUse {
					t.Errorf("%d entries take %d bytes, %d are counted", store.Entries, took, store.Memory)
				}
			}
			measure(primary, func() { // each is sent at once, and the backup keeps nothing yet
				for i := range uint64(c.entries) {
					claim := claimOf(fmt.Sprintf("%0*d", c.key, i), i)
					for _, command := range []*Command{claim, finishOf(claim, c.body)} {
						primary.Handle(0, command, func(Answer) {})
						for b := primary.NextBatch(0, backup.me); b != nil; b = primary.NextBatch(0, backup.me) {
							primary.BatchDone(0, backup.me, b, &BatchReply{})
						}
					}
				}
			})
			measure(backup, func() {
				for _, s := range primary.shards {
					for _, k := range primary.sortedKeys(s) {
						for _, state := range []State{Claimed, Done} {
							e := s.entries[k].Entry
							if e.State = state; state == Claimed {
								e.Outcome = nil
							}
							backup.HandleBatch(0, copyOfBatch(&Batch{To: backup.me, Updates: []Update{{Shard: s.number, State: s.Shard, Entries: []Entry{e}}}}))
						}
					}
				}
			})
			runtime.KeepAlive(primary)
			runtime.KeepAlive(backup)
		})
	}
}

// heapInUse returns how many bytes of the heap are live.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// Guards against a sidecar with less memory than the others: primaries claim no more than they, and their replicas, may take.
func TestClaimsKeepToTheSmallestBoundOfTheReplicas(t *testing.T) {
	large := Limits{MaxEntries: 1 << 20, MaxMemory: 64 << 20, MaxBody: 1000}
	small := Limits{MaxEntries: 1 << 20, MaxMemory: 2 << 20, MaxBody: 1000}
	for name, limits := range map[string][2]Limits{"at the backup": {large, small}, "at the primary": {small, large}} {
		primary, backup := pairOfStores(memoryParams, limits[0], limits[1])
		full := 0
		for i := range uint64(20_000) {
			claim := claimOf(fmt.Sprint(i), i)
			if answer := ask(0, primary, backup, claim); answer.Kind == AnswerFull {
				full++
				continue
			}
			ask(0, primary, backup, finishOf(claim, 1000))
		}
		if full == 0 || max(primary.Memory, backup.Memory) > small.MaxMemory {
			t.Errorf("the smallest bound is %s: %d claims are rejected, and entries take %d and %d of %d bytes", name, full, primary.Memory, backup.Memory, small.MaxMemory)
		}
	}
}

// Guards against claims that together take more than a backup has told of, while its next word is on its way.
func TestClaimsOnTheirWayUseRoom(t *testing.T) {
	large := Limits{MaxEntries: 1 << 20, MaxMemory: 64 << 20, MaxBody: 1000}
	small := Limits{MaxEntries: 1 << 20, MaxMemory: 8 << 20, MaxBody: 1000}
	primary, backup := pairOfStores(memoryParams, large, small)
	ask(0, primary, backup, claimOf("first", 0)) // its answer tells the backup's room
	claims := uint64(1)
	claimMany := func() {
		for range 10_000 {
			primary.Handle(0, claimOf(fmt.Sprint(claims), claims), func(Answer) {})
			claims++
		}
	}
	claimMany()
	first := primary.NextBatch(0, backup.me)
	claimMany() // while the batch is on its way
	primary.BatchDone(0, backup.me, first, backup.HandleBatch(0, copyOfBatch(first)))
	claimMany()
	if exchange(0, primary, backup); backup.Memory > small.MaxMemory {
		t.Errorf("the backup's entries take %d of %d bytes", backup.Memory, small.MaxMemory)
	}
}

// Guards against outcomes that are kept once for each time that they are sent: while a backup does not answer, an owner sends its command
// again and again. The last one gets the answer.
func TestRepeatedCommandsWaitOnce(t *testing.T) {
	primary, backup := pairOfStores(memoryParams, Limits{MaxEntries: 1000}, Limits{MaxEntries: 1000})
	claim := claimOf("k", 1)
	answers := make([]Answer, 2*maxQueued)
	primary.Handle(0, claim, func(Answer) {})
	for i := range answers {
		primary.Handle(0, finishOf(claim, 100), func(a Answer) { answers[i] = a })
	}
	if queued := len(primary.shards[claim.Key.Shard()].entries[claim.Key].queue); queued != 1 {
		t.Errorf("%d commands wait, want 1", queued)
	}
	exchange(0, primary, backup)
	if last := answers[len(answers)-1]; last.Kind != AnswerOK {
		t.Errorf("the last command is answered %v", last.Kind)
	}
}

// Guards against limits with which no key could be claimed.
func TestLimitsLeaveRoomForAKey(t *testing.T) {
	least := MinMemory(MaxBody)
	if err := (Limits{MaxMemory: least, MaxBody: MaxBody}).Check(); err != nil {
		t.Error(err)
	}
	if err := (Limits{MaxMemory: least - 1, MaxBody: MaxBody}).Check(); err == nil {
		t.Error("too little memory is accepted")
	}
	limits := Limits{MaxEntries: 1 << 20, MaxMemory: least, MaxBody: MaxBody}
	primary, backup := pairOfStores(memoryParams, limits, limits)
	claim := claimOf(strings.Repeat("k", MaxName), 1)
	for _, command := range []*Command{claim, finishOf(claim, MaxBody)} {
		if answer := ask(0, primary, backup, command); answer.Kind != AnswerOK {
			t.Errorf("%v", answer.Kind)
		}
	}
}

// Guards against claims that fill the memory which replicas need once sidecars are lost: a sidecar that holds a part of all shards keeps
// room for what it then gets. One that holds all of them, or is the only one, gets no more.
func TestClaimsLeaveRoomForReplicas(t *testing.T) {
	for _, c := range []struct {
		copies, members int
		want            float64
	}{{2, 1, 1}, {2, 2, 1}, {2, 3, 2.0 / 3}, {2, 4, 3.0 / 4}, {2, 100, 99.0 / 100}, {3, 3, 1}, {3, 4, 3.0 / 4}, {3, 6, 4.0 / 6}, {1, 5, 1}} {
		store := NewStore(Params{Copies: c.copies}, Limits{MaxMemory: 1000})
		for i := range c.members {
			store.members[Incarnation{Name: fmt.Sprint(i)}] = Member{}
		}
		if room, bounded := store.room(); !bounded || room != int64(1000*c.want) {
			t.Errorf("%d copies, %d members: room for %d of 1000 bytes, want %v of it", c.copies, c.members, room, c.want)
		}
	}
}

// Guards against room that is never given back: an owner that is lost with its claims never tells an outcome.
func TestReservationEndsWithItsClaim(t *testing.T) {
	limits := Limits{MaxEntries: 1000, MaxMemory: 8 << 20, MaxBody: 16 << 10}
	primary, backup := pairOfStores(memoryParams, limits, limits)
	claim := claimOf("k", 1)
	ask(0, primary, backup, claim)
	later := claim.Lifetime + AgeSlack
	for range NumShards {
		primary.Tick(later)
		backup.Tick(later)
		later += sweepInterval
	}
	for _, store := range []*Store{primary, backup} {
		if got := store.Memory; got >= int64(limits.MaxBody) || got == 0 {
			t.Errorf("%d bytes are counted for an entry without an outcome", got)
		}
	}
	if answer := ask(later, primary, backup, finishOf(claim, limits.MaxBody)); answer.Kind != AnswerOK || primary.Memory < int64(limits.MaxBody) {
		t.Errorf("a late outcome is answered %v, and %d bytes are counted", answer.Kind, primary.Memory)
	}
}
