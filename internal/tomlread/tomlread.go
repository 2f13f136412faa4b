// Package tomlread reads the TOML files that people write for heathgap. It is
// strict and tells all that is wrong with a file at once: each error names file,
// line and key, what was found and what is allowed.
//
// go-toml parses; this package knows on which line a key stands, which keys were
// asked for, and which bounds a value has.
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

// maxFile bounds a file, in bytes: what people write by hand is far smaller.
const maxFile = 1 << 20

// Error is one thing that is wrong with a file.
type Error struct {
	File    string
	Line    int    // from 1
	Key     string // dotted, with places in arrays, such as tier[1].cores; empty for the file as a whole
	Found   string
	Allowed string // empty where nothing but another text would do
}

// Error is one line.
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

// Errors are all that is wrong with a file, in the order of its lines.
type Errors []*Error

// Error is one line an error.
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
	lines map[string]int // of the keys that stand there
	errs  Errors
	Root  *Table
}

// Load parses the file at a path.
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

// Parse parses a file's text; the name is for errors.
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
	d.Root = &Table{doc: d, values: values, used: map[string]bool{}}
	return d, nil
}

// Err returns all that was found wrong, also the keys that nobody asked for.
func (d *Doc) Err() error {
	d.Root.reportUnknown()
	if len(d.errs) == 0 {
		return nil
	}
	slices.SortStableFunc(d.errs, func(a, b *Error) int { return a.Line - b.Line })
	return d.errs
}

// lineIndex tells the line of each key of a text that go-toml takes.
func lineIndex(text []byte) map[string]int {
	lines := map[string]int{}
	counts := map[string]int{} // of the tables in an array so far
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

// indexKey books the line of a dotted key and returns its path. A table under an
// array's stands in the newest one of that array.
func indexKey(p *unstable.Parser, it unstable.Iterator, prefix string, lines, counts map[string]int) string {
	path := prefix
	for it.Next() {
		n := it.Node()
		if counts[path] > 0 {
			path = fmt.Sprintf("%s[%d]", path, counts[path]-1)
		}
		path = join(path, string(n.Data))
		if _, known := lines[path]; !known {
			lines[path] = p.Shape(n.Raw).Start.Line
		}
	}
	return path
}

// indexValue books the lines of a key and of what an inline table under it holds.
func indexValue(p *unstable.Parser, e *unstable.Node, prefix string, lines, counts map[string]int) {
	path := indexKey(p, e.Key(), prefix, lines, counts)
	if v := e.Value(); v.Kind == unstable.InlineTable {
		it := v.Children()
		for it.Next() {
			indexValue(p, it.Node(), path, lines, counts)
		}
	}
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// Table is one table of a file. Its readers return the default where a key is
// absent, and also where its value is not allowed, which is then told by Err.
type Table struct {
	doc      *Doc
	path     string
	values   map[string]any
	used     map[string]bool
	children []*Table
}

// Has tells whether a key stands there.
func (t *Table) Has(key string) bool {
	_, there := t.values[key]
	return there
}

// Line is the line of a key, or of the table where the key is absent.
func (t *Table) Line(key string) int {
	for path := join(t.path, key); path != ""; path = parent(path) {
		if line := t.doc.lines[path]; line > 0 {
			return line
		}
	}
	return 1
}

// parent takes the last part off a path: a place in an array, or a key.
func parent(path string) string {
	return path[:max(0, strings.LastIndexAny(path, ".["))]
}

// Fail tells that a key's value can't be taken.
func (t *Table) Fail(key, found, allowed string) {
	t.doc.errs = append(t.doc.errs, &Error{
		File: t.doc.file, Line: t.Line(key), Key: join(t.path, key), Found: found, Allowed: allowed,
	})
}

// lookup returns the value of a key and marks it as asked for.
func (t *Table) lookup(key string) (any, bool) {
	t.used[key] = true
	v, there := t.values[key]
	return v, there
}

// reportUnknown tells the keys that nobody asked for, here and below.
func (t *Table) reportUnknown() {
	// Guards against an unknown key that the line of the next one names as allowed.
	allowed := strings.Join(slices.Sorted(maps.Keys(t.used)), ", ")
	for key := range t.values {
		if !t.used[key] {
			t.used[key] = true // told once
			t.Fail(key, "unknown key", allowed)
		}
	}
	for _, child := range t.children {
		child.reportUnknown()
	}
}

func show(v any) string {
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

// Skip marks keys as asked for whose values do not matter any more.
func (t *Table) Skip(keys ...string) {
	for _, key := range keys {
		t.used[key] = true
	}
}

// Need tells that a key is missing, if it is.
func (t *Table) Need(key, allowed string) {
	if !t.Has(key) {
		t.used[key] = true
		t.Fail(key, "missing", allowed)
	}
}

// Text reads a string of up to 256 bytes.
func (t *Table) Text(key, defaultValue string) string {
	const maxBytes = 256
	allowed := fmt.Sprintf("a text of 1 to %d bytes", maxBytes)
	v, there := t.lookup(key)
	if !there {
		return defaultValue
	}
	s, ok := v.(string)
	if !ok || s == "" || len(s) > maxBytes {
		t.Fail(key, show(v), allowed)
		return defaultValue
	}
	return s
}

// Enum reads one of a few words.
func (t *Table) Enum(key, defaultValue string, values ...string) string {
	v, there := t.lookup(key)
	if !there {
		return defaultValue
	}
	if s, ok := v.(string); ok && slices.Contains(values, s) {
		return s
	}
	t.Fail(key, show(v), strings.Join(values, ", "))
	return defaultValue
}

// Texts reads an array of strings.
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
		t.Fail(key, show(v), "an array of texts")
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
	t.Fail(key, show(v), "true or false")
	return defaultValue
}

// Int reads a whole number within bounds, both of them allowed.
func (t *Table) Int(key string, defaultValue, minimum, maximum int) int {
	v, there := t.lookup(key)
	if !there {
		return defaultValue
	}
	if n, ok := v.(int64); ok && n >= int64(minimum) && n <= int64(maximum) {
		return int(n)
	}
	t.Fail(key, show(v), fmt.Sprintf("a whole number from %d to %d", minimum, maximum))
	return defaultValue
}

// Float reads a number within bounds, both of them allowed.
func (t *Table) Float(key string, defaultValue, minimum, maximum float64) float64 {
	v, there := t.lookup(key)
	if !there {
		return defaultValue
	}
	f, ok := v.(float64)
	if n, whole := v.(int64); whole {
		f, ok = float64(n), true
	}
	if ok && f >= minimum && f <= maximum { // NaN is in no bounds
		return f
	}
	t.Fail(key, show(v), fmt.Sprintf("a number from %v to %v", minimum, maximum))
	return defaultValue
}

// Duration reads a time with its unit, such as "250ms", within bounds, both of
// them allowed.
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
	t.Fail(key, show(v), allowed)
	return defaultValue
}

// Table reads a table; an absent one is empty, so that its defaults hold.
func (t *Table) Table(key string) *Table {
	v, there := t.lookup(key)
	values, ok := v.(map[string]any)
	if there && !ok {
		t.Fail(key, show(v), "a table")
	}
	return t.child(key, values)
}

// Tables reads an array of tables, of so many at most.
func (t *Table) Tables(key string, maxTables int) []*Table {
	v, there := t.lookup(key)
	if !there {
		return nil
	}
	list, ok := v.([]any)
	if !ok || len(list) > maxTables {
		t.Fail(key, show(v), fmt.Sprintf("an array of up to %d tables", maxTables))
		return nil
	}
	var tables []*Table
	for i, one := range list {
		name := fmt.Sprintf("%s[%d]", key, i)
		values, ok := one.(map[string]any)
		if !ok {
			t.Fail(name, show(one), "a table")
			continue
		}
		tables = append(tables, t.child(name, values))
	}
	return tables
}

func (t *Table) child(key string, values map[string]any) *Table {
	child := &Table{doc: t.doc, path: join(t.path, key), values: values, used: map[string]bool{}}
	t.children = append(t.children, child)
	return child
}
