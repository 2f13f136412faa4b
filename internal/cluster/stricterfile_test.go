package cluster

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"heathgap/decide"
	"heathgap/internal/versions"
)

// drawRules picks the own rules of a sidecar with one class.
func drawRules(rt *rapid.T) versions.Rules {
	return versions.FromSettings(&decide.Settings{
		Classes: []decide.Class{{Name: "pay", Effect: decide.Keyed,
			Group: decide.Group(rapid.IntRange(0, 2).Draw(rt, "group")), Window: time.Duration(rapid.IntRange(0, 2).Draw(rt, "window"))},
			{Name: "look", Effect: rapid.SampledFrom([]decide.Effect{decide.Safe, decide.Unsafe}).Draw(rt, "effect")}},
		Limits: decide.Limits{MaxAttempts: rapid.IntRange(1, 3).Draw(rt, "attempts"), Hedging: rapid.Bool().Draw(rt, "hedging")},
	})
}

// drawVersion picks a version in a state.
func drawVersion(rt *rapid.T, number uint64, state State) VersionRecord {
	doc := versions.Document{
		Classes: map[string]versions.Class{
			"pay":  {Effect: decide.Keyed, Group: decide.Group(rapid.IntRange(0, 2).Draw(rt, "group")), Window: time.Duration(rapid.IntRange(0, 2).Draw(rt, "window"))},
			"look": {Effect: rapid.SampledFrom([]decide.Effect{decide.Safe, decide.Keyed, decide.Unsafe}).Draw(rt, "effect")},
		},
		MaxAttempts: rapid.IntRange(0, 3).Draw(rt, "attempts"),
	}
	return VersionRecord{Version: versions.Version{Number: number, Hash: doc.Hash(), Doc: doc}, State: state}
}

// Guards against a request that is sent again though its sidecar's own file forbids that: a member never acts on anything looser than its
// file, whatever version is active when it joins or becomes active later, while another is proposed or prepared, and without a lease.
func TestMemberNeverActsLooserThanItsOwnFile(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		own := drawRules(rt)
		h := NewLeaseHolder(Member{Name: "m", Token: 1}, Params{Lease: time.Second}, own, 0)
		check := func(when string, now BootTime) {
			if key, ok := own.Allows(h.Effective(now).Rules); !ok {
				rt.Fatalf("%s: %s: its own file does not allow %+v: %+v", when, key, h.Effective(now).Rules, own)
			}
		}
		check("before the first lease", 0)
		at := BootTime(0)
		for number := range uint64(3) {
			grant := Grant{Granted: true, Epoch: 1, Active: drawVersion(rt, number+1, Active)}
			if rapid.Bool().Draw(rt, "with a next version") {
				next := drawVersion(rt, number+2, rapid.SampledFrom([]State{Checking, Prepared}).Draw(rt, "state"))
				grant.Next = &next
			}
			if _, err := h.HandleGrant(at, &grant); err != nil {
				rt.Fatal(err)
			}
			check("with a lease", at)
			if grant.Next != nil && h.Effective(at).Next == grant.Next.Number {
				if key, ok := own.Effective(&grant.Next.Doc, 0).Allows(h.Effective(at).Rules); !ok {
					rt.Fatalf("%s: the prepared version does not allow %+v", key, h.Effective(at).Rules)
				}
			}
			at += time.Second
			check("without a lease", at)
		}
	})
}

// Guards against operators who can't see that a version does not say all that a sidecar acts on: the key in which its file is stricter is named.
func TestMemberNamesTheKeyInWhichItsFileIsStricter(t *testing.T) {
	own := versions.FromSettings(&decide.Settings{Classes: []decide.Class{{Name: "pay", Effect: decide.Unsafe}}})
	for want, doc := range map[string]versions.Document{
		"":                 {Classes: map[string]versions.Class{"pay": {Effect: decide.Unsafe}}},
		"class.pay.effect": {Classes: map[string]versions.Class{"pay": {Effect: decide.Keyed, Window: time.Second}}},
		"max_attempts":     {MaxAttempts: 2},
	} {
		h := NewLeaseHolder(Member{Name: "m", Token: 1}, Params{Lease: time.Second}, own, 0)
		grant := Grant{Granted: true, Epoch: 1, Active: VersionRecord{Version: versions.Version{Number: 1, Hash: doc.Hash(), Doc: doc}, State: Active}}
		if _, err := h.HandleGrant(0, &grant); err != nil {
			t.Fatal(err)
		}
		if got := h.Effective(0).LooserKey; got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}
