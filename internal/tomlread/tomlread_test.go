package tomlread

import (
	"strings"
	"testing"
	"time"
)

const good = `name = "a"
[log]
every = 3
wait = "250ms"
inline = { share = 0.5 }

[[tier]]
cores = 2
[tier.cold]
from = 0.3

[[tier]]
cores = 4
[tier.cold]
from = 0.9
`

func readAll(d *Doc) (waits time.Duration, from []float64) {
	d.Root.Text("name", "")
	log := d.Root.Table("log")
	log.Int("every", 1, 1, 10)
	waits = log.Duration("wait", time.Second, 0, time.Minute)
	log.Table("inline").Float("share", 0, 0, 1)
	for _, t := range d.Root.Tables("tier", 10) {
		t.Int("cores", 1, 1, 8)
		from = append(from, t.Table("cold").Float("from", 1, 0, 1))
	}
	return waits, from
}

func TestReadValues(t *testing.T) {
	d, err := Parse("f.toml", []byte(good))
	if err != nil {
		t.Fatal(err)
	}
	waits, from := readAll(d)
	if err := d.Err(); err != nil || waits != 250*time.Millisecond || len(from) != 2 || from[1] != 0.9 {
		t.Errorf("read %v and %v, %v", waits, from, err)
	}
}

// Guards against faults that are reported with the wrong line, or of which only the first is reported.
func TestReportsAllErrorsWithLines(t *testing.T) {
	bad := strings.NewReplacer(
		`every = 3`, `every = 30`, `"250ms"`, `250`, `share = 0.5`, `share = "much"`,
		`from = 0.9`, "fromm = 0.9\nfrmo = 0.8", `name = "a"`, `name = 7`).Replace(good)
	d, err := Parse("f.toml", []byte(bad))
	if err != nil {
		t.Fatal(err)
	}
	readAll(d)
	want := []string{
		`f.toml:1: name: 7; allowed: a text of 1 to 256 bytes`,
		`f.toml:3: log.every: 30; allowed: a whole number from 1 to 10`,
		`f.toml:4: log.wait: 250; allowed: a time from "0s" to "1m0s" with its unit (ms, s, m, h)`,
		`f.toml:5: log.inline.share: "much"; allowed: a number from 0 to 1`,
		`f.toml:15: tier[1].cold.fromm: unknown key; allowed: from`,
		`f.toml:16: tier[1].cold.frmo: unknown key; allowed: from`,
	}
	if got := d.Err(); got == nil || got.Error() != strings.Join(want, "\n") {
		t.Errorf("reported\n%v\nwant\n%s", got, strings.Join(want, "\n"))
	}
}

func TestInvalidTOML(t *testing.T) {
	_, err := Parse("f.toml", []byte("a = 1\nb = = 2\n"))
	if err == nil || !strings.HasPrefix(err.Error(), "f.toml:2: ") {
		t.Errorf("reported %v, want line 2", err)
	}
}

// No text may make the process panic, and every error has a line.
func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte("[[a.b]]\n[a.b.c]\nd=[{e=1}]\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := Parse("f", text)
		if err != nil {
			return
		}
		readAll(d)
		if err := d.Err(); err != nil && strings.Contains(err.Error(), "f:0:") {
			t.Errorf("an error without a line: %v", err)
		}
	})
}
