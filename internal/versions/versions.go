// Package versions holds the rules that the sidecars of a crew agree on: documents with
// a number, a hash and a parent, what a sidecar acts on between two of them, and what it
// acts on when it can't know which one holds. It is pure.
package versions

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"heathgap/decide"
)

// Bounds of a document: every member keeps two of them, and the keepers their history.
const (
	MaxClasses    = 64
	MaxBanned     = 1024     // as many as a sidecar keeps bans by hand
	MaxBytes      = 64 << 10 // bytes, encoded: the keepers' history holds 8 MiB of them then
	AttemptsLimit = 16
	MaxWindow     = time.Hour
	maxName       = 256
)

// Class is what a document says of a class of requests: all of it, or the class is not
// in the document.
type Class struct {
	Effect decide.Effect `cbor:"1,keyasint"`
	Group  decide.Group  `cbor:"2,keyasint"`
	Window time.Duration `cbor:"3,keyasint"` // in which a group of endpoints drops repeats, as they state it
}

// Document is the rules of one version. What it leaves out is each sidecar's own.
type Document struct {
	Classes     map[string]Class `cbor:"1,keyasint,omitempty"`
	MaxAttempts int              `cbor:"2,keyasint,omitempty"` // 0: each sidecar's own
	// NoHedging bars two attempts of one request at once; without it the sidecar's own setting holds.
	NoHedging bool     `cbor:"3,keyasint,omitempty"`
	Banned    []string `cbor:"4,keyasint,omitempty"` // names of endpoints that get nothing new; sorted, each once
}

// canonicalEncoding gives the same bytes for the same document, whatever a map's order.
var canonicalEncoding, _ = cbor.CoreDetEncOptions().EncMode()

// Hash identifies a document's content.
type Hash [sha256.Size]byte

// String is the hash's first 12 hex digits, as people compare it.
func (h Hash) String() string { return hex.EncodeToString(h[:6]) }

// Hash returns the hash of the canonical encoding (RFC 8949, 4.2.1).
func (d *Document) Hash() Hash {
	return sha256.Sum256(d.encode())
}

func (d *Document) encode() []byte {
	encoded, err := canonicalEncoding.Marshal(d)
	if err != nil {
		panic(err) // a struct of plain fields
	}
	return encoded
}

// Version is a document with its place among the others.
type Version struct {
	Number uint64   `cbor:"1,keyasint"` // from 1; 0 is the sidecars' own files, before any version
	Parent uint64   `cbor:"2,keyasint"`
	Hash   Hash     `cbor:"3,keyasint"`
	Author string   `cbor:"4,keyasint,omitempty"`
	Note   string   `cbor:"5,keyasint,omitempty"`
	Doc    Document `cbor:"6,keyasint"`
}

// Check turns down a version that no sidecar could take: what came over the network, or
// from a file, is not what it says.
func (v *Version) Check() error {
	if err := v.Doc.Check(); err != nil {
		return err
	}
	if got := v.Doc.Hash(); got != v.Hash {
		return fmt.Errorf("hash: %v, of what came %v", v.Hash, got)
	}
	if len(v.Note) > maxName || len(v.Author) > maxName {
		return fmt.Errorf("note, author: over %d bytes", maxName)
	}
	return nil
}

// Check turns down a document that breaks a bound or contradicts itself. Its error begins
// with the key.
func (d *Document) Check() error {
	if len(d.Classes) > MaxClasses {
		return fmt.Errorf("class: %d of them; allowed: up to %d", len(d.Classes), MaxClasses)
	}
	for _, name := range slices.Sorted(maps.Keys(d.Classes)) {
		c := d.Classes[name]
		key := func(k string) string { return fmt.Sprintf("class.%s.%s", name, k) }
		switch {
		case name == "" || len(name) > maxName:
			return fmt.Errorf("class.name: %d bytes; allowed: 1 to %d", len(name), maxName)
		case c.Effect != decide.Safe && c.Effect != decide.Keyed && c.Effect != decide.Unsafe:
			return fmt.Errorf("%s: %d; allowed: repeatable, by_key, once", key("effect"), c.Effect)
		case c.Group > decide.GroupCell:
			return fmt.Errorf("%s: %d; allowed: all, zone, cell", key("group"), c.Group)
		case c.Window < 0 || c.Window > MaxWindow:
			return fmt.Errorf("%s: %v; allowed: 0s to %v", key("window"), c.Window, MaxWindow)
		case c.Effect != decide.Keyed && (c.Group != decide.GroupAll || c.Window != 0):
			return fmt.Errorf("%s: group and window belong to effect by_key alone", key("effect"))
		}
	}
	if d.MaxAttempts < 0 || d.MaxAttempts > AttemptsLimit {
		return fmt.Errorf("max_attempts: %d; allowed: 1 to %d", d.MaxAttempts, AttemptsLimit)
	}
	if len(d.Banned) > MaxBanned {
		return fmt.Errorf("banned: %d names; allowed: up to %d", len(d.Banned), MaxBanned)
	}
	for i, name := range d.Banned {
		if name == "" || len(name) > maxName || i > 0 && name <= d.Banned[i-1] {
			return fmt.Errorf("banned[%d]: %.40q; allowed: names of 1 to %d bytes, sorted, each once", i, name, maxName)
		}
	}
	if size := len(d.encode()); size > MaxBytes {
		return fmt.Errorf("document: %d bytes; allowed: up to %d", size, MaxBytes)
	}
	return nil
}

// Rules are all that a sidecar acts on of what versions may change: its own settings with
// a document laid over them.
type Rules struct {
	Classes     map[string]Class // every class that the sidecar knows
	MaxAttempts int
	Hedging     bool
	Banned      map[string]bool
}

// FromSettings are the rules of a sidecar's own settings. They are not shared with them.
func FromSettings(set *decide.Settings) Rules {
	r := Rules{
		Classes: map[string]Class{}, MaxAttempts: max(1, set.Limits.MaxAttempts), Hedging: set.Limits.Hedging,
		Banned: map[string]bool{},
	}
	for _, c := range set.Classes {
		r.Classes[c.Name] = Class{c.Effect, c.Group, c.Window}
	}
	return r
}

// With returns the rules with a document laid over them. connect is the time that a
// connection may take: a sidecar judges a repeat that much before its last byte has come.
func (r Rules) With(d *Document, connect time.Duration) Rules {
	out := r.clone()
	for name, c := range d.Classes {
		if _, known := out.Classes[name]; known {
			c.Window = max(0, c.Window-connect)
			out.Classes[name] = c
		}
	}
	if d.MaxAttempts > 0 {
		out.MaxAttempts = d.MaxAttempts
	}
	out.Hedging = out.Hedging && !d.NoHedging
	for _, name := range d.Banned {
		out.Banned[name] = true
	}
	return out
}

func (r Rules) clone() Rules {
	r.Classes, r.Banned = maps.Clone(r.Classes), maps.Clone(r.Banned)
	return r
}

// Intersect returns the rules that allow only what both allow: what a sidecar acts on
// between two versions. An error names the key that has no stricter side. Per key, the
// stricter side is (docs/crew.md holds the same table):
//
//	class.effect         once before by_key before repeatable
//	class.group          zone or cell before all; zone and cell have none
//	class.window         the shorter
//	max_attempts         the lower
//	second_copies        not allowed
//	banned               banned by either
func (r Rules) Intersect(other Rules) (Rules, error) {
	out := r.clone()
	for _, name := range slices.Sorted(maps.Keys(r.Classes)) {
		c, err := intersectClass(r.Classes[name], other.Classes[name])
		if err != nil {
			return Rules{}, fmt.Errorf("class.%s.%w", name, err)
		}
		out.Classes[name] = c
	}
	out.MaxAttempts = min(r.MaxAttempts, other.MaxAttempts)
	out.Hedging = r.Hedging && other.Hedging
	maps.Copy(out.Banned, other.Banned)
	return out, nil
}

func intersectClass(a, b Class) (Class, error) {
	switch {
	case a.Effect > b.Effect:
		return a, nil
	case b.Effect > a.Effect:
		return b, nil
	case a.Effect != decide.Keyed:
		return a, nil
	}
	out := Class{Effect: decide.Keyed, Group: max(a.Group, b.Group), Window: min(a.Window, b.Window)}
	if a.Group != b.Group && a.Group != decide.GroupAll && b.Group != decide.GroupAll {
		return Class{}, fmt.Errorf("group: zone and cell have no stricter side; change the effect to once in between")
	}
	return out, nil
}

// Allows tells whether the rules allow all that others allow; if not, it names one key
// by which they do not.
func (r Rules) Allows(other Rules) (key string, ok bool) {
	for _, name := range slices.Sorted(maps.Keys(other.Classes)) {
		mine, theirs := r.Classes[name], other.Classes[name]
		switch {
		case theirs.Effect < mine.Effect:
			return "class." + name + ".effect", false
		case theirs.Effect != decide.Keyed || mine.Effect != decide.Keyed:
		case mine.Group != decide.GroupAll && mine.Group != theirs.Group:
			return "class." + name + ".group", false
		case theirs.Window > mine.Window:
			return "class." + name + ".window", false
		}
	}
	if other.MaxAttempts > r.MaxAttempts {
		return "max_attempts", false
	}
	if other.Hedging && !r.Hedging {
		return "second_copies", false
	}
	for _, name := range slices.Sorted(maps.Keys(r.Banned)) {
		if !other.Banned[name] {
			return "banned." + name, false
		}
	}
	return "", true
}

// Cautious returns what a sidecar acts on that can't know which version holds: nothing
// that any version could forbid. Classes that are fixed no version may change, so they
// stay as they are.
func (r Rules) Cautious(fixed []string) Rules {
	out := r.clone()
	for name := range out.Classes {
		if !slices.Contains(fixed, name) {
			out.Classes[name] = Class{Effect: decide.Unsafe}
		}
	}
	out.Hedging = false
	return out
}

// CheckTransition tells whether a sidecar with these own rules can take a document after another:
// the check that each member makes of a proposal. Its error begins with the key.
func (r Rules) CheckTransition(from, to *Document, fixed []string) error {
	for _, name := range slices.Sorted(maps.Keys(to.Classes)) {
		own, known := r.Classes[name]
		switch {
		case !known:
			return fmt.Errorf("class.%s: this sidecar has no such class; allowed: %v", name, slices.Sorted(maps.Keys(r.Classes)))
		case slices.Contains(fixed, name):
			return fmt.Errorf("class.%s: fixed by crew.fixed_classes, no version may change it", name)
		// A keyed class is asked for by POST with a key, a repeatable one by GET: callers would have to change with it.
		case own.Effect == decide.Safe && to.Classes[name].Effect == decide.Keyed:
			return fmt.Errorf("class.%s.effect: callers send this class without keys; allowed: repeatable, once", name)
		}
	}
	if key, ok := r.Allows(r.With(to, 0)); !ok {
		return fmt.Errorf("%s: looser than this sidecar's own file; change that first", key)
	}
	_, err := r.With(from, 0).Intersect(r.With(to, 0))
	return err
}

// DynamicSettings is what the module is told to act on.
func (r Rules) DynamicSettings() *decide.DynamicSettings {
	out := &decide.DynamicSettings{MaxAttempts: r.MaxAttempts, Hedging: r.Hedging, Classes: map[string]decide.DynamicClass{}}
	for name, c := range r.Classes {
		out.Classes[name] = decide.DynamicClass{Effect: c.Effect, Group: c.Group, Window: c.Window}
	}
	return out
}

// Diff tells what differs between two documents, a line a key.
func Diff(from, to *Document) []string {
	var lines []string
	add := func(key string, a, b any) {
		if fmt.Sprint(a) != fmt.Sprint(b) {
			lines = append(lines, fmt.Sprintf("%s: %v -> %v", key, a, b))
		}
	}
	names := maps.Clone(from.Classes)
	if names == nil {
		names = map[string]Class{}
	}
	maps.Copy(names, to.Classes)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		add("class."+name, describeClass(from.Classes, name), describeClass(to.Classes, name))
	}
	add("max_attempts", from.MaxAttempts, to.MaxAttempts)
	add("second_copies", !from.NoHedging, !to.NoHedging)
	for _, name := range from.Banned {
		if !slices.Contains(to.Banned, name) {
			lines = append(lines, "banned: -"+name)
		}
	}
	for _, name := range to.Banned {
		if !slices.Contains(from.Banned, name) {
			lines = append(lines, "banned: +"+name)
		}
	}
	return lines
}

func describeClass(classes map[string]Class, name string) string {
	c, found := classes[name]
	switch {
	case !found:
		return "each sidecar's own"
	case c.Effect == decide.Keyed:
		return fmt.Sprintf("%s/%s/%v", EffectNames[c.Effect], GroupNames[c.Group], c.Window)
	}
	return EffectNames[c.Effect]
}
