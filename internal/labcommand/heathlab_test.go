package labcommand

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"heathgap/internal/lab/record"
)

// buildPrograms builds heathgap and heathlab and returns their folder.
func buildPrograms(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	cmd := exec.Command("go", "build", "-o", dir+"/", "heathgap/cmd/heathgap", "heathgap/cmd/heathlab")
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return dir
}

const shortScenario = `name = "short"
duration = "2s"
margin = "300ms"
most_lag = "5s"
[[class]]
name = "look"
work = "2ms"
[[tier]]
name = "front"
endpoints = 3
sidecars = 2
[load]
rate = 100
`

func writeScenario(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Runs the built programs: a run with its record, a comparison, experiments, and an interrupted run that must leave no
// process behind.
func TestPrograms(t *testing.T) {
	bin := buildPrograms(t)
	path, out := writeScenario(t, shortScenario), t.TempDir()
	lab := func(args ...string) (string, error) {
		text, err := exec.Command(filepath.Join(bin, "heathlab"), args...).CombinedOutput()
		return string(text), err
	}
	t.Run("run", func(t *testing.T) {
		t.Parallel()
		text, err := lab("run", path, "--seed", "5", "--out", filepath.Join(out, "one", "5"))
		if err != nil || !strings.Contains(text, "lost 0") {
			t.Fatalf("%v: %s", err, text)
		}
		r, err := record.Load(filepath.Join(out, "one", "5", "record.json"))
		if err != nil || r.Seed != 5 || !r.Passed() || r.Service < 0.9 || len(r.Sidecars) != 2 || r.Sidecars[0].RSSMB == 0 {
			t.Errorf("%v: %+v", err, r)
		}
		if text, err = lab("compare", filepath.Join(out, "one", "5", "record.json")); err != nil || !strings.Contains(text, "heathgap") {
			t.Errorf("compare: %v: %s", err, text)
		}
	})
	t.Run("json", func(t *testing.T) {
		t.Parallel()
		text, err := exec.Command(filepath.Join(bin, "heathlab"), "run", path, "--json").Output()
		var keys map[string]any
		if err != nil || json.Unmarshal(text, &keys) != nil {
			t.Fatalf("%v: %s", err, text)
		}
		for _, key := range []string{"seed", "scenario", "service", "classes", "tenants", "rules", "attempts_per_request",
			"sidecars", "late_sends_ms_p99", "series"} {
			if keys[key] == nil {
				t.Errorf("the record has no %s", key)
			}
		}
	})
	t.Run("baseline", func(t *testing.T) {
		t.Parallel()
		text, err := lab("baseline", path, "--seeds", "1", "--policies", "heathgap,random")
		if err != nil || !strings.Contains(text, "random: seed 1: service") || !strings.Contains(text, "sign test") {
			t.Errorf("%v: %s", err, text)
		}
	})
	t.Run("overhead", func(t *testing.T) {
		t.Parallel()
		text, err := lab("overhead", "--rate", "100", "--for", "1s")
		if err != nil || !strings.Contains(text, "through a sidecar p50") {
			t.Errorf("%v: %s", err, text)
		}
	})
	t.Run("sweep", func(t *testing.T) {
		t.Parallel()
		text, err := lab("sweep", path, "load.rate", "50", "90", "--seeds", "1")
		if err != nil || !strings.Contains(text, "load.rate=90: seed 1: service") {
			t.Errorf("%v: %s", err, text)
		}
	})
	t.Run("interrupt", func(t *testing.T) {
		t.Parallel()
		dir := t.TempDir()
		cmd := exec.Command(filepath.Join(bin, "heathlab"), "run",
			writeScenario(t, strings.Replace(shortScenario, `"2s"`, `"60s"`, 1)), "--out", dir)
		progress, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		if _, err := progress.Read(make([]byte, 1)); err != nil { // the first byte of the progress report
			t.Fatal(err)
		}
		cmd.Process.Signal(syscall.SIGINT)
		var rest bytes.Buffer
		rest.ReadFrom(progress)
		if err := cmd.Wait(); err == nil || !strings.Contains(rest.String(), "PARTIAL") {
			t.Errorf("an interrupted run ended with %v: %s", err, rest.String())
		}
		if r, err := record.Load(filepath.Join(dir, "record.json")); err != nil || !r.Partial {
			t.Errorf("%v: its record is not marked partial", err)
		}
		for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
			left := processesOf(t, filepath.Join(bin, "heathgap"), cmd.Process.Pid)
			if len(left) == 0 {
				break
			}
			if time.Now().After(end) {
				t.Fatalf("processes are left: %q", left)
			}
		}
	})
}

// processesOf returns the IDs of processes that run a program and were started by the given parent, or have lost their
// parent.
func processesOf(t *testing.T, program string, parent int) (pids []string) {
	t.Helper()
	dirs, err := filepath.Glob("/proc/[0-9]*")
	if err != nil {
		t.Fatal(err)
	}
	for _, dir := range dirs {
		exe, err := os.Readlink(filepath.Join(dir, "exe"))
		if err != nil || exe != program {
			continue
		}
		stat, err := os.ReadFile(filepath.Join(dir, "stat"))
		if err != nil {
			continue
		}
		fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
		if ppid := fields[1]; ppid == "1" || ppid == itoa(parent) {
			pids = append(pids, filepath.Base(dir))
		}
	}
	return pids
}

func itoa(n int) string {
	text, _ := json.Marshal(n)
	return string(text)
}

func runHeathlab(args ...string) (int, string, string) {
	var stdout, stderr bytes.Buffer
	code := Heathlab(args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// Invalid input is refused before anything starts.
func TestInvalidInput(t *testing.T) {
	good, bad := writeScenario(t, shortScenario), writeScenario(t, strings.Replace(shortScenario, "work = ", "wrok = ", 1))
	for name, c := range map[string]struct {
		args []string
		want string
	}{
		"bad file":       {[]string{"run", bad}, "s.toml:7: class[0].wrok: unknown key"},
		"no file":        {[]string{"run", "/nowhere.toml"}, "/nowhere.toml"},
		"unknown policy": {[]string{"run", good, "--policy", "luck"}, `policy "luck": unknown; allowed: heathgap`},
		"check":          {[]string{"check", good, bad}, "class[0].work: missing"},
		"sweep":          {[]string{"sweep", good, "load.rate", "0"}, "load.rate = 0"},
		"no record":      {[]string{"compare", good}, "no record"},
		"usage":          {[]string{"sweep"}, "expected"},
	} {
		t.Run(name, func(t *testing.T) {
			if code, _, stderr := runHeathlab(c.args...); code == 0 || !strings.Contains(stderr, c.want) {
				t.Errorf("%d: %q, want %q", code, stderr, c.want)
			}
		})
	}
	if code, stdout, _ := runHeathlab("list", "../../lab/scenarios"); code != 0 || !strings.Contains(stdout, "retry_storm") || !strings.Contains(stdout, "least-budget") {
		t.Errorf("list: %d, %q", code, stdout)
	}
}
