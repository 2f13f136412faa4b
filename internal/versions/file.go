package versions

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"heathgap/decide"
	"heathgap/internal/tomlread"
)

// EffectNames and GroupNames are the enum values in document files. The settings use the same ones.
var (
	EffectNames = map[decide.Effect]string{decide.Safe: "repeatable", decide.Keyed: "by_key", decide.Unsafe: "once"}
	GroupNames  = map[decide.Group]string{decide.GroupAll: "all", decide.GroupZone: "zone", decide.GroupCell: "cell"}
)

// keyByName returns the key whose name is given, or the zero value if there is none.
func keyByName[K comparable](names map[K]string, name string) K {
	for k, n := range names {
		if n == name {
			return k
		}
	}
	var zero K
	return zero
}

// Load reads a document and its note from a TOML file that people wrote. The error lists all faults in the file's keys and values, one per
// line; if there are none, it names the first limit that the document exceeds.
func Load(path string) (doc Document, note string, err error) {
	file, err := tomlread.Load(path)
	if err != nil {
		return Document{}, "", err
	}
	return decode(file)
}

// decode reads a document and its note from a parsed file.
func decode(file *tomlread.Doc) (doc Document, note string, err error) {
	root := file.Root
	note = root.Text("note", "")
	doc.MaxAttempts = root.Int("max_attempts", 0, 1, AttemptsLimit)
	// Only false has a meaning: no version may allow hedged requests on a sidecar whose own settings forbid them.
	if root.Has("second_copies") && root.Bool("second_copies", false) {
		root.Fail("second_copies", "true", "false, or no key: each sidecar's own setting holds then")
	}
	doc.NoHedging = root.Has("second_copies")
	doc.Banned = root.Texts("banned")
	if slices.Sort(doc.Banned); len(slices.Compact(slices.Clone(doc.Banned))) != len(doc.Banned) {
		root.Fail("banned", "a name twice", "each name once")
	}
	doc.Classes = map[string]Class{}
	for _, t := range root.Tables("class", MaxClasses) {
		t.Require("name", "the name of a class")
		t.Require("effect", "repeatable, by_key, once")
		name := t.Text("name", "")
		if _, found := doc.Classes[name]; found {
			t.Fail("name", fmt.Sprintf("%q, a second time", name), "each class once")
		}
		c := Class{Effect: keyByName(EffectNames, t.Enum("effect", "once", slices.Sorted(maps.Values(EffectNames))...))}
		if c.Effect == decide.Keyed {
			t.Require("window", `a time such as "800ms"`)
			c.Group = keyByName(GroupNames, t.Enum("group", "all", "all", "zone", "cell"))
			c.Window = t.Duration("window", time.Second, 0, MaxWindow)
		}
		doc.Classes[name] = c
	}
	if err := file.Err(); err != nil {
		return Document{}, "", err
	}
	if len(doc.Classes) == 0 {
		doc.Classes = nil
	}
	return doc, note, doc.Check()
}
