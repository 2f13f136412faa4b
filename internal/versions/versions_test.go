package versions

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"heathgap/decide"
	"heathgap/internal/tomlread"
)

// generateRules picks rules of two classes at random.
func generateRules(rt *rapid.T, label string) Rules {
	r := Rules{Classes: map[string]Class{}, Banned: map[string]bool{}}
	for _, name := range []string{"a", "b"} {
		c := Class{Effect: rapid.SampledFrom([]decide.Effect{decide.Safe, decide.Keyed, decide.Unsafe}).Draw(rt, label)}
		if c.Effect == decide.Keyed {
			c.Group = decide.Group(rapid.IntRange(0, 2).Draw(rt, label))
			c.Window = time.Duration(rapid.IntRange(0, 2).Draw(rt, label))
		}
		r.Classes[name] = c
		if rapid.Bool().Draw(rt, label) {
			r.Banned[name] = true
		}
	}
	r.MaxAttempts, r.Hedging = rapid.IntRange(1, 3).Draw(rt, label), rapid.Bool().Draw(rt, label)
	return r
}

// Guards against rules that are too loose: the intersection of two rules must allow nothing that either forbids, in either order, and the
// cautious rules must allow nothing that any version forbids.
func TestIntersectIsAllowedByBoth(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		a, b := generateRules(rt, "a"), generateRules(rt, "b")
		intersection, err := a.Intersect(b)
		reverse, errReverse := b.Intersect(a)
		if (err == nil) != (errReverse == nil) {
			rt.Fatalf("the intersection depends on the order: %v, and in reverse %v", err, errReverse)
		}
		if err != nil {
			if !strings.Contains(err.Error(), "group") {
				rt.Fatal(err)
			}
			return
		}
		for _, other := range []Rules{a, b, reverse} {
			if key, ok := other.Allows(intersection); !ok {
				rt.Fatalf("%s: %+v does not allow %+v", key, other, intersection)
			}
		}
		cautious := a.Cautious(nil)
		cautious.Banned, cautious.MaxAttempts = b.Banned, min(a.MaxAttempts, b.MaxAttempts)
		if key, ok := b.Allows(cautious); !ok {
			rt.Fatalf("%s: %+v does not allow the cautious %+v", key, b, cautious)
		}
	})
}

// generateDocument picks a document of some of these classes at random.
func generateDocument(rt *rapid.T, label string) Document {
	stated := generateRules(rt, label)
	d := Document{Classes: map[string]Class{}, MaxAttempts: rapid.IntRange(0, 3).Draw(rt, label), NoHedging: !stated.Hedging}
	for _, name := range slices.Sorted(maps.Keys(stated.Classes)) {
		if rapid.Bool().Draw(rt, label) {
			d.Classes[name] = stated.Classes[name]
		}
	}
	d.Banned = slices.Sorted(maps.Keys(stated.Banned))
	return d
}

// Guards against a second attempt that a sidecar's own file forbids: a document that was agreed on before the file became stricter is
// looser than it, in whatever key. What is in effect must be allowed by both, and never lets a repeat by a key that callers do not send.
func TestEffectiveIsAllowedByFileAndDocument(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		own, d := generateRules(rt, "own"), generateDocument(rt, "document")
		connect := time.Duration(rapid.IntRange(0, 1).Draw(rt, "connect"))
		stated, effective := own.withDocument(&d, connect), own.Effective(&d, connect)
		for _, other := range []Rules{own, stated} {
			if key, ok := other.Allows(effective); !ok {
				rt.Fatalf("%s: %+v does not allow %+v", key, other, effective)
			}
		}
		for name, c := range effective.Classes {
			if own.Classes[name].Effect == decide.Safe && c.Effect == decide.Keyed {
				rt.Fatalf("class %s is repeated by keys that its callers do not send", name)
			}
		}
		key, ok := own.Allows(stated)
		if got := own.LooserKey(&d, connect); got != key || ok != (got == "") {
			rt.Fatalf("looser key %q, want %q", got, key)
		}
	})
}

// Guards against an Allows that overlooks a key, as the other tests rely on it: for each key, it must reject looser rules and name the key.
func TestAllowsRejectsLooserRules(t *testing.T) {
	strict := Rules{Classes: map[string]Class{"a": {Effect: decide.Unsafe}, "b": {decide.Keyed, decide.GroupZone, 1}}, MaxAttempts: 1,
		Banned: map[string]bool{"e": true}}
	for key, change := range map[string]func(*Rules){
		"class.a.effect": func(r *Rules) { r.Classes["a"] = Class{Effect: decide.Safe} },
		"class.b.group":  func(r *Rules) { r.Classes["b"] = Class{decide.Keyed, decide.GroupAll, 1} },
		"class.b.window": func(r *Rules) { r.Classes["b"] = Class{decide.Keyed, decide.GroupZone, 2} },
		"max_attempts":   func(r *Rules) { r.MaxAttempts = 2 },
		"second_copies":  func(r *Rules) { r.Hedging = true },
		"banned.e":       func(r *Rules) { delete(r.Banned, "e") },
	} {
		loose := strict.clone()
		change(&loose)
		if got, ok := strict.Allows(loose); ok || got != key {
			t.Errorf("%s: %q, %v", key, got, ok)
		}
		if got, ok := loose.Allows(strict); !ok {
			t.Errorf("%s: the looser rules do not allow the stricter ones, because of %q", key, got)
		}
	}
}

// Guards against proposals that a member accepts although it cannot apply them, or rejects without naming the key.
func TestCheckTransition(t *testing.T) {
	own := FromSettings(&decide.Settings{Classes: []decide.Class{{Name: "look", Effect: decide.Safe},
		{Name: "pay", Effect: decide.Keyed, Group: decide.GroupAll, Window: time.Second}}})
	doc := func(name string, c Class) *Document { return &Document{Classes: map[string]Class{name: c}} }
	zone, cell := Class{decide.Keyed, decide.GroupZone, 1}, Class{decide.Keyed, decide.GroupCell, 1}
	for want, c := range map[string]struct{ from, to *Document }{
		"":                          {&Document{}, doc("pay", Class{Effect: decide.Unsafe})},
		"class.buy: this sidecar":   {&Document{}, doc("buy", Class{Effect: decide.Unsafe})},
		"class.fixed: this sidecar": {&Document{}, doc("fixed", zone)},
		"class.look.effect: call":   {&Document{}, doc("look", zone)},
		"class.pay.effect: looser":  {&Document{}, doc("pay", Class{Effect: decide.Safe})},
		"class.pay.window: looser":  {&Document{}, doc("pay", Class{decide.Keyed, decide.GroupAll, time.Hour})},
		"max_attempts: looser":      {&Document{}, &Document{MaxAttempts: 9}},
		"class.pay.group: zone and": {doc("pay", zone), doc("pay", cell)},
	} {
		if err := own.CheckTransition(c.from, c.to, nil); err == nil != (want == "") || err != nil && !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: %v", want, err)
		}
	}
	if err := own.CheckTransition(&Document{}, doc("pay", Class{Effect: decide.Unsafe}), []string{"pay"}); err == nil {
		t.Error("a document that changes a fixed class was accepted")
	}
}

// Guards against documents that are read wrongly from a file, against errors that do not name the line or key, and against hashes that do not
// follow the document's content.
func TestDecode(t *testing.T) {
	read := func(text string) (Document, error) {
		file, err := tomlread.Parse("v.toml", []byte(text))
		if err != nil {
			return Document{}, err
		}
		doc, _, err := decode(file)
		return doc, err
	}
	doc, err := read("max_attempts = 2\nsecond_copies = false\nbanned = [\"s-2\", \"s-1\"]\n[[class]]\nname = \"pay\"\neffect = \"by_key\"\ngroup = \"zone\"\nwindow = \"1s\"\n")
	if err != nil || doc.Classes["pay"] != (Class{decide.Keyed, decide.GroupZone, time.Second}) || !slices.Equal(doc.Banned, []string{"s-1", "s-2"}) ||
		doc.MaxAttempts != 2 || !doc.NoHedging {
		t.Errorf("%+v, %v", doc, err)
	}
	other := doc
	if other.Hash() != doc.Hash() {
		t.Error("equal documents have different hashes")
	}
	if other.MaxAttempts = 3; other.Hash() == doc.Hash() {
		t.Error("different documents have equal hashes")
	}
	long := Document{}
	for i := range MaxBanned {
		long.Banned = append(long.Banned, fmt.Sprintf("%0*d", maxName, i))
	}
	if err := long.Check(); err == nil || !strings.HasPrefix(err.Error(), "document: ") {
		t.Errorf("a document of %d names of %d bytes: %v", MaxBanned, maxName, err)
	}
	for text, want := range map[string]string{
		"max_attempts = 0":                             "v.toml:1: max_attempts",
		"second_copies = true":                         "v.toml:1: second_copies",
		"banned = [\"a\", \"a\"]":                      "v.toml:1: banned",
		"[[class]]\nname = \"x\"\neffect = \"?\"":      "v.toml:3: class[0].effect",
		"[[class]]\nname = \"x\"\neffect = \"by_key\"": "class[0].window: missing",
		"[[class]]\nname = \"x\"\neffect = \"once\"\n[[class]]\nname = \"x\"\neffect = \"once\"": "a second time",
		"ban = []": "v.toml:1: ban: unknown key",
	} {
		if _, err := read(text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}
