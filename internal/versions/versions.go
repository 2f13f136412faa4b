// Package versions implements the versions of the rules that the sidecars of a cluster agree on. A version is a document of rules with a
// number, a hash and a parent. The package computes the effective rules of a sidecar: from its own settings and one version; while the
// cluster changes from one version to another (Intersect); and when the sidecar cannot know which version is in effect (Cautious). The
// package is pure.
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

// Limits of a document. Every member keeps two documents in memory, and the voters keep the history of documents.
const (
	MaxClasses    = 64
	MaxBanned     = 1024     // names of endpoints; package state has the same limit (maxBans) for bans by hand
	MaxBytes      = 64 << 10 // bytes of an encoded document, so that the voters' history takes at most 8 MiB
	AttemptsLimit = 16
	MaxWindow     = time.Hour
	maxName       = 256 // bytes of a name, a note or an author
)

// Class holds the rules for a class of requests. A document that contains a class sets all of its fields.
type Class struct {
	Effect decide.Effect `cbor:"1,keyasint"`
	Group  decide.Group  `cbor:"2,keyasint"`
	Window time.Duration `cbor:"3,keyasint"` // for how long the endpoints of a group drop repeats of a request, as the endpoints state it
}

// Document holds the rules of one version. For what it leaves out, each sidecar's own settings apply. Hash covers its encoding, and all
// processes of a cluster compare hashes: the types and the numbers of the fields must not change.
type Document struct {
	Classes     map[string]Class `cbor:"1,keyasint,omitempty"`
	MaxAttempts int              `cbor:"2,keyasint,omitempty"` // 0: each sidecar's own setting applies
	// NoHedging forbids hedged requests, which are two attempts of one request at once. If it is false, each sidecar's own setting
	// applies.
	NoHedging bool     `cbor:"3,keyasint,omitempty"`
	Banned    []string `cbor:"4,keyasint,omitempty"` // names of endpoints that get no new requests; sorted, without duplicates
}

// canonicalEncoding gives the same bytes for equal documents, in whatever order a map is iterated.
var canonicalEncoding, _ = cbor.CoreDetEncOptions().EncMode()

// Hash identifies a document's content.
type Hash [sha256.Size]byte

// String returns the first 12 hex digits of the hash, for people.
func (h Hash) String() string { return hex.EncodeToString(h[:6]) }

// Hash returns the SHA-256 hash of the document's canonical CBOR encoding (RFC 8949, 4.2.1).
func (d *Document) Hash() Hash {
	return sha256.Sum256(d.encode())
}

// encode returns the document's canonical encoding.
func (d *Document) encode() []byte {
	encoded, err := canonicalEncoding.Marshal(d)
	if err != nil {
		panic(err) // it does not happen: all fields can be encoded
	}
	return encoded
}

// Version is a document with its number and origin.
type Version struct {
	Number uint64   `cbor:"1,keyasint"` // from 1; 0 stands for the sidecars' own settings, before any version
	Parent uint64   `cbor:"2,keyasint"` // number of the version that was active when this one was proposed
	Hash   Hash     `cbor:"3,keyasint"`
	Author string   `cbor:"4,keyasint,omitempty"`
	Note   string   `cbor:"5,keyasint,omitempty"`
	Doc    Document `cbor:"6,keyasint"`
}

// Check returns an error for a version that no sidecar can take: its document is invalid, its hash does not match the document, or a text
// is too long. Versions that came over the network or from a file must be checked.
func (v *Version) Check() error {
	if err := v.Doc.Check(); err != nil {
		return err
	}
	if got := v.Doc.Hash(); got != v.Hash {
		return fmt.Errorf("hash: %v; that of the received document is %v", v.Hash, got)
	}
	if len(v.Note) > maxName || len(v.Author) > maxName {
		return fmt.Errorf("note, author: over %d bytes", maxName)
	}
	return nil
}

// Check returns an error for a document that exceeds a limit or contradicts itself. The error begins with the offending key.
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

// Rules are rules for one sidecar, for all that versions may change: those of its own settings, and what Effective, Intersect and Cautious
// derive from them. Its methods return new Rules and do not change the receiver.
type Rules struct {
	Classes     map[string]Class // every class of the sidecar's settings
	MaxAttempts int
	Hedging     bool            // hedged requests are allowed
	Banned      map[string]bool // names of endpoints that get no new requests
}

// FromSettings returns the rules of a sidecar's own settings. As in package decide, 0 attempts count as 1. The rules share no memory with
// the settings.
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

// Effective returns the rules in effect on a sidecar with these own rules while a document is active: they allow only what both allow. A
// document that was agreed on earlier may be looser than what the sidecar's settings say now. connect is the time that opening a connection
// may take; the document's windows are shortened by it, because a sidecar decides about a repeat up to that time before the repeat's last
// byte arrives.
func (r Rules) Effective(d *Document, connect time.Duration) Rules {
	out := r.withDocument(d, connect)
	for name, own := range r.Classes {
		out.Classes[name] = effectiveClass(own, out.Classes[name])
	}
	out.MaxAttempts = min(r.MaxAttempts, out.MaxAttempts)
	return out
}

// effectiveClass returns the class that allows only what a sidecar's own class and that of a document allow. Where neither is the stricter
// one, no repeat is safe under both; nor is it by a key that the sidecar's callers do not send.
func effectiveClass(own, stated Class) Class {
	class, err := intersectClass(own, stated)
	if err != nil || own.Effect == decide.Safe && stated.Effect == decide.Keyed {
		return Class{Effect: decide.Unsafe}
	}
	return class
}

// LooserKey returns the first key found in which a document allows something that these own rules forbid; empty if there is none. connect is
// that of Effective.
func (r Rules) LooserKey(d *Document, connect time.Duration) string {
	key, _ := r.Allows(r.withDocument(d, connect))
	return key
}

// withDocument returns what a document states for this sidecar: where it says nothing, the sidecar's own rules. It may be looser than those.
// Classes that this sidecar does not know are left out. connect is that of Effective.
func (r Rules) withDocument(d *Document, connect time.Duration) Rules {
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

// Intersect returns the rules that allow only what both allow. They are in effect on a sidecar while the cluster changes from one version
// to another. The error names the key of which neither side is the stricter one. The stricter side of each key is (docs/crew.md has the
// same table):
//
//	class.effect         once before by_key before repeatable
//	class.group          zone or cell before all; between zone and cell there is none
//	class.window         the shorter one
//	max_attempts         the lower one
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

// intersectClass returns the class that allows only what both a and b allow. Effects are ordered by strictness: Safe, Keyed, Unsafe.
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

// Allows reports whether the rules allow all that the other rules allow; both must be of the same sidecar, and so have the same classes. If
// not, key is the first key found in which the other rules allow something that these forbid.
func (r Rules) Allows(other Rules) (key string, ok bool) {
	for _, name := range slices.Sorted(maps.Keys(other.Classes)) {
		mine, theirs := r.Classes[name], other.Classes[name]
		switch {
		case theirs.Effect < mine.Effect:
			return "class." + name + ".effect", false
		case theirs.Effect != decide.Keyed || mine.Effect != decide.Keyed: // there are no groups and windows to compare
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

// Cautious returns the rules for a sidecar that cannot know which version is in effect. They allow nothing that a version could forbid,
// except that MaxAttempts and Banned stay as they are: the caller sets them from the last known version. The fixed classes stay too, because
// no version may change them.
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

// CheckTransition returns an error if a sidecar with these own rules cannot replace one document by another. Each member checks every proposal
// with it and sends the text of the error to the leader. The error begins with the offending key.
func (r Rules) CheckTransition(from, to *Document, fixed []string) error {
	for _, name := range slices.Sorted(maps.Keys(to.Classes)) {
		own, known := r.Classes[name]
		switch {
		case !known:
			return fmt.Errorf("class.%s: this sidecar has no such class; allowed: %v", name, slices.Sorted(maps.Keys(r.Classes)))
		case slices.Contains(fixed, name):
			return fmt.Errorf("class.%s: fixed by crew.fixed_classes, no version may change it", name)
		// Callers send requests of a keyed class by POST with a key, those of a repeatable class by GET. The callers would have to
		// change together with the rules.
		case own.Effect == decide.Safe && to.Classes[name].Effect == decide.Keyed:
			return fmt.Errorf("class.%s.effect: callers send this class without keys; allowed: repeatable, once", name)
		}
	}
	if key := r.LooserKey(to, 0); key != "" {
		return fmt.Errorf("%s: looser than this sidecar's own file; change that first", key)
	}
	_, err := r.withDocument(from, 0).Intersect(r.withDocument(to, 0))
	return err
}

// DynamicSettings returns the rules as settings for package decide. Bans are not part of them.
func (r Rules) DynamicSettings() *decide.DynamicSettings {
	out := &decide.DynamicSettings{MaxAttempts: r.MaxAttempts, Hedging: r.Hedging, Classes: map[string]decide.DynamicClass{}}
	for name, c := range r.Classes {
		out.Classes[name] = decide.DynamicClass{Effect: c.Effect, Group: c.Group, Window: c.Window}
	}
	return out
}

// Diff returns the differences between two documents, for people: a line for each key.
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

// describeClass returns a class of a document as Diff shows it.
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
