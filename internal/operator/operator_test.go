package operator

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"heathgap/internal/clusterparams"
)

func loadText(t *testing.T, text string) (File, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "operator.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(path)
}

func TestLoad(t *testing.T) {
	f, err := loadText(t, "[log]\nlevel = \"warn\"\nconnection_ended_every = 100\n")
	if err != nil || f.Log.Level != zerolog.WarnLevel || f.Log.ConnectionEnded != 100 {
		t.Errorf("%+v, %v", f, err)
	}
	if f, err = loadText(t, ""); err != nil || f != Default() {
		t.Errorf("an empty file: %+v, %v; want the defaults", f, err)
	}
}

// The documented file is valid, and sets nothing but the defaults.
func TestDocumentedFileSetsDefaults(t *testing.T) {
	f, err := Load("../../deploy/operator.toml")
	if err != nil || f != Default() {
		t.Errorf("%+v, %v; want the defaults", f, err)
	}
}

// Guards against faults that are ignored, or of which only the first is reported.
func TestReportsAllFaults(t *testing.T) {
	_, err := loadText(t, "[log]\nlevel = \"loud\"\nconnection_ended_every = 0\nlevle = 1\n[tenants]\n")
	if err == nil {
		t.Fatal("a faulty file was accepted")
	}
	for _, want := range []string{
		`operator.toml:2: log.level: "loud"; allowed: info, warn, error`,
		`operator.toml:3: log.connection_ended_every: 0; allowed: a whole number from 1 to 1000000`,
		`operator.toml:4: log.levle: unknown key; allowed: connection_ended_every, level`,
		`operator.toml:5: tenants: unknown key; allowed: crew, holdings, log`,
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("reported\n%v\nwithout\n%s", err, want)
		}
	}
}

// The table [crew] as deploy/operator.toml shows it is valid and has the defaults. Faulty tables are reported by line.
func TestClusterTable(t *testing.T) {
	text, err := os.ReadFile("../../deploy/operator.toml")
	if err != nil {
		t.Fatal(err)
	}
	_, table, found := strings.Cut(string(text), "# [crew]\n")
	if !found {
		t.Fatal("deploy/operator.toml has no [crew]")
	}
	example := "[crew]\n"
	for line := range strings.Lines(table) {
		if bare := strings.TrimPrefix(line, "# "); strings.Contains(bare, " = ") || strings.HasPrefix(bare, "[") {
			example += bare
		}
	}
	f, err := loadText(t, example)
	if err != nil || f.Cluster == nil || len(f.Cluster.Voters) != 1 || f.Cluster.Params.Lease != defaultLease || f.Cluster.ContradictAtMost != defaultContradict ||
		f.Cluster.Params.Slack != defaultSlack || f.Cluster.Params.Drift != defaultDrift || len(f.Cluster.Holdings.Classes) != 1 ||
		f.Cluster.Params.Holdings != (clusterparams.Holdings{Copies: defaultCopies, Keep: defaultKeep, LostAfter: defaultLostAfter}) ||
		f.Cluster.Holdings.MaxEntries != defaultEntries || f.Cluster.Holdings.MaxBody != defaultBody {
		t.Fatalf("%+v, %v of\n%s", f.Cluster, err, example)
	}
	const voterTable = "\n[[crew.keeper]]\nname = \"k\"\naddress = \"127.0.0.1:9\"\n"
	const good = "[crew]\nname = \"c\"\naddress = \"127.0.0.1:9\"\n"
	for more, want := range map[string]string{
		"lease = \"3s\"" + voterTable:                              ":4: crew.lease: lease, drift and slack add up to 3.26",
		"lease = \"3s\"\ncontradict_at_most = \"3s\"" + voterTable: ":5: crew.contradict_at_most",
		"lease = \"1ms\"" + voterTable:                             ":4: crew.lease: \"1ms\"; allowed",
		"drift = 0.5" + voterTable:                                 ":4: crew.drift",
		"":                                                         "crew.keeper: missing",
		voterTable + voterTable:                                    "a second time",
		voterTable + "[holdings]\n":                                "holdings.class: missing",
		voterTable + "[holdings]\nmost_memory = 1000000\n[[holdings.class]]\nname = \"p\"\n":            ":9: holdings.most_memory: 1000000; allowed",
		voterTable + "[holdings]\ncopies = 9\n[[holdings.class]]\nname = \"p\"\n":                       ":9: holdings.copies: 9; allowed",
		voterTable + "[holdings]\n[[holdings.class]]\nname = \"p\"\nwhen_alone = \"wait\"\n":            ":11: holdings.class[0].when_alone",
		voterTable + "[holdings]\n[[holdings.class]]\nname = \"p\"\n[[holdings.class]]\nname = \"p\"\n": "\"p\", a second time",
		"keepers = 3" + voterTable:                           ":4: crew.keepers: unknown key",
		"\n[[crew.keeper]]\nname = \"k\"\naddress = \"x\"\n": "crew.keeper[0].address: \"x\"",
	} {
		if _, err := loadText(t, good+more); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", more, err, want)
		}
	}
}
