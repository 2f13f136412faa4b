// Package tomlread reads the TOML files that people write for heathgap. It is strict and reports all that is wrong with
// a file at once: each error names the file, the line and the key, what was found and what is allowed.
//
// go-toml parses the text. This package adds the line of each key, the check for unknown keys, and limits for values.
package tomlread

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// maxFile limits the size of a file, in bytes: files that people write by hand are far smaller.
const maxFile = 1 << 20

// Error is one fault of a file.
type Error struct {
	File    string
	Line    int    // counted from 1
	Key     string // dotted, with indexes in arrays, such as tier[1].cores; empty for the file as a whole
	Found   string
	Allowed string // empty if there is nothing to list, as for a syntax error
}

// Error returns the fault as one line.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s:%d: ", e.File, e.Line)
	if e.Key != "" {
		text += e.Key + ": "
	}
	text += e.Found
	if e.Allowed != "" {
		text += "; allowed: " + e.Allowed
	}
	return text
}

// Errors are all faults of a file, in the order of its lines.
type Errors []*Error

// Error returns one line per fault.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, one := range e {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// Doc is a file that is being read.
type Doc struct {
	file  string
	lines map[string]int // by the path of each key in the file
	errs  Errors
	Root  *Table
}

// Load reads and parses the file at a path.
func Load(path string) (*Doc, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() || info.Size() > maxFile {
		return nil, fmt.Errorf("%s: not a file of up to %d bytes", path, maxFile)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse parses a file's text. The file's name is used in errors only.
func Parse(file string, text []byte) (*Doc, error) {
	values := map[string]any{}
	if err := toml.Unmarshal(text, &values); err != nil {
		parseError := &Error{File: file, Line: 1, Found: "no TOML: " + strings.TrimPrefix(err.Error(), "toml: ")}
		var at *toml.DecodeError
		if errors.As(err, &at) {
			parseError.Line, _ = at.Position()
			parseError.Key = strings.Join(at.Key(), ".")
		}
		return nil, Errors{parseError}
	}
	d := &Doc{file: file, lines: lineIndex(text)}
	d.Root = &Table{doc: d, values: values, known: map[string]bool{}}
	return d, nil
}

// Err returns all faults that were found, including the keys that no reader has requested.
func (d *Doc) Err() error {
	d.Root.reportUnknown()
	if len(d.errs) == 0 {
		return nil
	}
	slices.SortStableFunc(d.errs, func(a, b *Error) int { return a.Line - b.Line })
	return d.errs
}

// lineIndex returns the lines of the keys in a text that go-toml accepts, except those in inline tables that are elements
// of an array.
func lineIndex(text []byte) map[string]int {
	lines := map[string]int{}
	counts := map[string]int{} // of the elements so far, by the path of an array of tables
	var p unstable.Parser
	p.Reset(text)
	prefix := ""
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table:
			prefix = indexKey(&p, e.Key(), "", lines, counts)
		case unstable.ArrayTable:
			name := indexKey(&p, e.Key(), "", lines, counts)
			prefix = fmt.Sprintf("%s[%d]", name, counts[name])
			counts[name]++
			lines[prefix] = lines[name]
			it := e.Key()
			for it.Next() {
				lines[prefix] = p.Shape(it.Node().Raw).Start.Line
			}
		case unstable.KeyValue:
			indexValue(&p, e, prefix, lines, counts)
		}
	}
	return lines
}

// indexKey records the line on which each part of a dotted key first occurs, and returns the key's path. A key below an
// array of tables belongs to the array's last element so far.
func indexKey(p *unstable.Parser, it unstable.Iterator, prefix string, lines, counts map[string]int) string {
	path := prefix
	for it.Next() {
		n := it.Node()
		if counts[path] > 0 {
			path = fmt.Sprintf("%s[%d]", path, counts[path]-1)
		}
		path = joinPath(path, string(n.Data))
		if _, known := lines[path]; !known {
			lines[path] = p.Shape(n.Raw).Start.Line
		}
	}
	return path
}

// indexValue records the lines of a key and of the keys in an inline table under it.
func indexValue(p *unstable.Parser, e *unstable.Node, prefix string, lines, counts map[string]int) {
	path := indexKey(p, e.Key(), prefix, lines, counts)
	if v := e.Value(); v.Kind == unstable.InlineTable {
		it := v.Children()
		for it.Next() {
			indexValue(p, it.Node(), path, lines, counts)
		}
	}
}

// joinPath appends a key to the path of its table; the root's path is empty.
func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// Table is a table of a file. Its readers return the default if a key is absent, and also if its value is not allowed;
// Err then reports the fault.
type Table struct {
	doc      *Doc
	path     string
	values   map[string]any
	known    map[string]bool
	children []*Table
}

// Has reports whether a key is present.
func (t *Table) Has(key string) bool {
	_, there := t.values[key]
	return there
}

// Line returns the line of a key. If none is recorded for the key, it is that of the nearest table or array around it, or
// else 1.
func (t *Table) Line(key string) int {
	for path := joinPath(t.path, key); path != ""; path = parent(path) {
		if line := t.doc.lines[path]; line > 0 {
			return line
		}
	}
	return 1
}

// parent removes the last element of a path: an array index or a key.
func parent(path string) string {
	return path[:max(0, strings.LastIndexAny(path, ".["))]
}

// Fail records that a key's value is not allowed.
func (t *Table) Fail(key, found, allowed string) {
	t.doc.errs = append(t.doc.errs, &Error{
		File: t.doc.file, Line: t.Line(key), Key: joinPath(t.path, key), Found: found, Allowed: allowed,
	})
}

// lookup returns the value of a key and marks the key as known.
func (t *Table) lookup(key string) (any, bool) {
	t.known[key] = true
	v, there := t.values[key]
	return v, there
}

// reportUnknown records a fault for each key that no reader has requested, in this table and those below.
func (t *Table) reportUnknown() {
	// Computed before the loop: otherwise one unknown key would be listed as allowed in the fault of the next.
	allowed := strings.Join(slices.Sorted(maps.Keys(t.known)), ", ")
	for key := range t.values {
		if !t.known[key] {
			t.known[key] = true // reported once, also if Err is called again
			t.Fail(key, "unknown key", allowed)
		}
	}
	for _, child := range t.children {
		child.reportUnknown()
	}
}

// describe returns a value as errors show it.
func describe(v any) string {
	switch v := v.(type) {
	case string:
		return strconv.Quote(v)
	case map[string]any:
		return "a table"
	case []any:
		return "an array"
	}
	return fmt.Sprint(v)
}

// MarkKnown marks keys as known without reading them.
func (t *Table) MarkKnown(keys ...string) {
	for _, key := range keys {
		t.known[key] = true
	}
}

// Require records a fault if a key is missing.
func (t *Table) Require(key, allowed string) {
	if !t.Has(key) {
		t.known[key] = true
		t.Fail(key, "missing", allowed)
	}
}

// Text reads a string of 1 to 256 bytes.
func (t *Table) Text(key, defaultValue string) string {
	const maxBytes = 256
	allowed := fmt.Sprintf("a text of 1 to %d bytes", maxBytes)
	v, there := t.lookup(key)
	if !there {
		return defaultValue
	}
	s, ok := v.(string)
	if !ok || s == "" || len(s) > maxBytes {
		t.Fail(key, describe(v), allowed)
		return defaultValue
	}
	return s
}

// Enum reads a string that has to be one of a few values.
func (t *Table) Enum(key, defaultValue string, values ...string) string {
	v, there := t.lookup(key)
	if !there {
		return defaultValue
	}
	if s, ok := v.(string); ok && slices.Contains(values, s) {
		return s
	}
	t.Fail(key, describe(v), strings.Join(values, ", "))
	return defaultValue
}

// Texts reads an array of strings that are not empty.
func (t *Table) Texts(key string) []string {
	v, there := t.lookup(key)
	if !there {
		return nil
	}
	list, ok := v.([]any)
	var texts []string
	for _, one := range list {
		s, isText := one.(string)
		ok = ok && isText && s != ""
		texts = append(texts, s)
	}
	if !ok {
		t.Fail(key, describe(v), "an array of texts")
		return nil
	}
	return texts
}

// Bool reads true or false.
func (t *Table) Bool(key string, defaultValue bool) bool {
	v, there := t.lookup(key)
	if !there {
		return defaultValue
	}
	if b, ok := v.(bool); ok {
		return b
	}
	t.Fail(key, describe(v), "true or false")
	return defaultValue
}

// Int reads an integer from minimum to maximum, both included.
func (t *Table) Int(key string, defaultValue, minimum, maximum int) int {
	v, there := t.lookup(key)
	if !there {
		return defaultValue
	}
	if n, ok := v.(int64); ok && n >= int64(minimum) && n <= int64(maximum) {
		return int(n)
	}
	t.Fail(key, describe(v), fmt.Sprintf("a whole number from %d to %d", minimum, maximum))
	return defaultValue
}

// Float reads a number from minimum to maximum, both included.
func (t *Table) Float(key string, defaultValue, minimum, maximum float64) float64 {
	v, there := t.lookup(key)
	if !there {
		return defaultValue
	}
	f, ok := v.(float64)
	if n, whole := v.(int64); whole {
		f, ok = float64(n), true
	}
	if ok && f >= minimum && f <= maximum { // false for NaN
		return f
	}
	t.Fail(key, describe(v), fmt.Sprintf("a number from %v to %v", minimum, maximum))
	return defaultValue
}

// Duration reads a time with its unit, such as "250ms", from minimum to maximum, both included.
func (t *Table) Duration(key string, defaultValue, minimum, maximum time.Duration) time.Duration {
	v, there := t.lookup(key)
	if !there {
		return defaultValue
	}
	s, ok := v.(string)
	d, err := time.ParseDuration(s)
	if ok && err == nil && d >= minimum && d <= maximum {
		return d
	}
	allowed := fmt.Sprintf("a time from %q to %q", minimum, maximum)
	if err != nil {
		allowed += " with its unit (ms, s, m, h)"
	}
	t.Fail(key, describe(v), allowed)
	return defaultValue
}

// Table reads a table; an absent one is empty, so that its keys have their defaults.
func (t *Table) Table(key string) *Table {
	v, there := t.lookup(key)
	values, ok := v.(map[string]any)
	if there && !ok {
		t.Fail(key, describe(v), "a table")
	}
	return t.child(key, values)
}

// Tables reads an array of at most maxTables tables.
func (t *Table) Tables(key string, maxTables int) []*Table {
	v, there := t.lookup(key)
	if !there {
		return nil
	}
	list, ok := v.([]any)
	if !ok || len(list) > maxTables {
		t.Fail(key, describe(v), fmt.Sprintf("an array of up to %d tables", maxTables))
		return nil
	}
	var tables []*Table
	for i, one := range list {
		name := fmt.Sprintf("%s[%d]", key, i)
		values, ok := one.(map[string]any)
		if !ok {
			t.Fail(name, describe(one), "a table")
			continue
		}
		tables = append(tables, t.child(name, values))
	}
	return tables
}

// child returns the table under a key and has Err check it for unknown keys.
func (t *Table) child(key string, values map[string]any) *Table {
	child := &Table{doc: t.doc, path: joinPath(t.path, key), values: values, known: map[string]bool{}}
	t.children = append(t.children, child)
	return child
}
