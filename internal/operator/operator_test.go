package operator

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

func load(t *testing.T, text string) (File, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "operator.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(path)
}

func TestLoad(t *testing.T) {
	f, err := load(t, "[log]\nlevel = \"warn\"\nconnection_ended_every = 100\n")
	if err != nil || f.Log.Level != zerolog.WarnLevel || f.Log.ConnectionEnded != 100 {
		t.Errorf("%+v, %v", f, err)
	}
	if f, err = load(t, ""); err != nil || f != Default() {
		t.Errorf("an empty file: %+v, %v; want the defaults", f, err)
	}
}

// The documented file is a good one, and sets nothing but the defaults.
func TestDocumentedFile(t *testing.T) {
	f, err := Load("../../deploy/operator.toml")
	if err != nil || f != Default() {
		t.Errorf("%+v, %v; want the defaults", f, err)
	}
}

// Guards against faults that are passed over, or of which only the first is told.
func TestBadFiles(t *testing.T) {
	_, err := load(t, "[log]\nlevel = \"loud\"\nconnection_ended_every = 0\nlevle = 1\n[tenants]\n")
	if err == nil {
		t.Fatal("taken")
	}
	for _, want := range []string{
		`operator.toml:2: log.level: "loud"; allowed: info, warn, error`,
		`operator.toml:3: log.connection_ended_every: 0; allowed: a whole number from 1 to 1000000`,
		`operator.toml:4: log.levle: unknown key; allowed: connection_ended_every, level`,
		`operator.toml:5: tenants: unknown key; allowed: log`,
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("told\n%v\nwithout\n%s", err, want)
		}
	}
}
