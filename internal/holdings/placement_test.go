package holdings

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Guards against plans that lose entries. Members join, are removed, are decommissioned and do not reach one another; primaries report
// replicas as caught up. After each plan, a shard's first replica must be ready, and no member may have two replicas of a shard. A ready
// replica of a member that is in the cluster may be removed only if as many others as Copies are ready.
func TestPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		copies := rapid.IntRange(1, 3).Draw(t, "copies")
		placement, epoch := &Placement{}, uint64(0)
		input := &PlacementInput{Copies: copies, CountsAsLost: func(int) bool { return false }}
		for range rapid.IntRange(5, 25).Draw(t, "steps") {
			input.Decommissioning, input.Unreachable, input.CaughtUp = map[Incarnation]bool{}, map[[2]Incarnation]bool{}, nil
			pick := func(what string) int { return rapid.IntRange(0, len(input.Members)-1).Draw(t, what) }
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1:
				epoch++
				n := rapid.IntRange(0, 7).Draw(t, "name")
				name := fmt.Sprint("s", n)
				if !slices.ContainsFunc(input.Members, func(m Member) bool { return m.Name == name }) {
					input.Members = append(input.Members, Member{Incarnation: Incarnation{name, epoch}, Token: epoch, Zone: fmt.Sprint(n % 4)})
				}
			case 2:
				if len(input.Members) > 0 {
					i := pick("gone")
					input.Members = slices.Delete(slices.Clone(input.Members), i, i+1)
				}
			case 3:
				if len(input.Members) > 0 {
					input.Decommissioning[input.Members[pick("leaves")].Incarnation] = true
				}
			case 4:
				if len(input.Members) > 1 {
					input.Unreachable[[2]Incarnation{input.Members[pick("who")].Incarnation, input.Members[pick("whom")].Incarnation}] = true
				}
			}
			caughtUp := rapid.IntRange(0, 2).Draw(t, "fills") // how many of the replicas that catch up are reported: none, some, all
			for i, s := range placement.Shards {
				for _, replica := range s.Replicas {
					if !replica.Ready && (caughtUp == 2 || caughtUp == 1 && i%2 == 0) {
						input.CaughtUp = append(input.CaughtUp, CaughtUp{i, s.Config, replica.Incarnation})
					}
				}
			}
			before := placement.Clone()
			changes := placement.Plan(input)
			if again := placement.Plan(input); !reflect.DeepEqual(changes, again) {
				t.Fatalf("two plans of the same state differ: %v, and then %v", changes, again)
			}
			if err := placement.Apply(changes); err != nil {
				t.Fatal(err)
			}
			for i := range placement.Shards {
				checkReplicas(t, input, i, &before.Shards[i], &placement.Shards[i])
			}
		}
	})
}

// checkReplicas checks one shard before and after a plan was applied.
func checkReplicas(t *rapid.T, input *PlacementInput, number int, before, after *Shard) {
	isMember := func(replica Replica) bool {
		return slices.ContainsFunc(input.Members, func(m Member) bool { return m.Token == replica.Token })
	}
	ready := 0
	for n, replica := range after.Replicas {
		if slices.ContainsFunc(after.Replicas[:n], func(other Replica) bool { return other.Name == replica.Name }) {
			t.Fatalf("shard %d: %s has two replicas: %v", number, replica.Name, after.Replicas)
		}
		if isMember(replica) && replica.Ready {
			ready++
		}
	}
	if len(after.Replicas) > 0 && !after.Replicas[0].Ready {
		t.Fatalf("shard %d: its first replica is not ready: %v", number, after.Replicas)
	}
	if !slices.Equal(before.Replicas, after.Replicas) && after.Config == before.Config {
		t.Fatalf("shard %d: the replicas have changed, but configuration %d has not", number, after.Config)
	}
	dropped := slices.ContainsFunc(before.Replicas, func(replica Replica) bool {
		return replica.Ready && isMember(replica) && !slices.ContainsFunc(after.Replicas, func(s Replica) bool { return s.Token == replica.Token })
	})
	if dropped && ready < input.Copies {
		t.Fatalf("shard %d: a ready replica was removed, and only %d others are ready: %v, %v", number, ready, before.Replicas, after.Replicas)
	}
}

// Guards against shards that get far more keys than others, and against a hash that does not separate the parts of a key: "a" and "b1" would
// then be the same key as "ab" and "1".
func TestKeys(t *testing.T) {
	shards := map[int]int{}
	for i := range 6400 {
		shards[Key{Class: "pay", Tenant: "a", Text: fmt.Sprint(i)}.Shard()]++
	}
	for i := range NumShards {
		if n := shards[i]; n < 50 || n > 200 {
			t.Errorf("shard %d has %d of 6,400 keys", i, n)
		}
	}
	sameShard := 0
	for i := range 100 {
		if (Key{"pay", "a", fmt.Sprint("b", i)}).Shard() == (Key{"pay", "ab", fmt.Sprint(i)}).Shard() {
			sameShard++
		}
	}
	if sameShard > 10 {
		t.Errorf("%d of 100 pairs of keys with the same concatenated parts are in the same shard", sameShard)
	}
}

// Guards against commands that exceed a limit: Check must name what is allowed. A command within the limits must pass.
func TestCommandBounds(t *testing.T) {
	for want, alter := range map[string]func(*Command){
		"":                       func(*Command) {},
		"do: 9; allowed: 1 to 5": func(c *Command) { c.Op = 9 },
		"up to 256 bytes":        func(c *Command) { c.Key.Tenant = strings.Repeat("t", MaxName+1) },
		"allowed: a key":         func(c *Command) { c.Key.Text = "" },
		"outcome: missing":       func(c *Command) { c.Op = OpFinish },
		"outcome: 65537 bytes":   func(c *Command) { c.Outcome = &Outcome{Body: make([]byte, MaxBody+1)} },
		"lasts: 2h0m0s":          func(c *Command) { c.Lifetime = 2 * MaxLifetime },
	} {
		c := Command{Op: OpClaim, Key: Key{Class: "pay", Text: "k"}}
		alter(&c)
		if err := c.Check(); (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
}
