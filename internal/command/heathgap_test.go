package command

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func run(args ...string) (int, string, string) {
	var stdout, stderr bytes.Buffer
	code := Heathgap(args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// fileWriter returns a function that writes files into a temporary folder of the test.
func fileWriter(t *testing.T) (write func(name, text string) string) {
	dir := t.TempDir()
	return func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
}

// Guards against a check that accepts a faulty file, stops at the first one, or starts something.
func TestCheckReportsAllFaults(t *testing.T) {
	write := fileWriter(t)
	good := write("good.toml", "[log]\nlevel = \"warn\"\n")
	bad := write("bad.toml", "[log]\nlevel = \"loud\"\nevery = 3\n")
	config := write("config.json", `{"name":"n","listen":"x"}`)
	if code, stdout, _ := run("check", good); code != 0 || !strings.Contains(stdout, "good.toml: good") {
		t.Errorf("a good file: %d, %q", code, stdout)
	}
	code, stdout, stderr := run("check", bad, good, config, filepath.Join(filepath.Dir(good), "none.toml"), "x.yaml")
	if code != ExitFailed || !strings.Contains(stdout, "good.toml: good") {
		t.Errorf("bad files: %d, %q", code, stdout)
	}
	for _, want := range []string{"bad.toml:2: log.level", "bad.toml:3: log.every", "config.json: listen: ",
		"none.toml", "x.yaml: unknown kind"} {
		if !strings.Contains(stderr, want) {
			t.Errorf("reported %q, without %q", stderr, want)
		}
	}
}

func TestCommandLine(t *testing.T) {
	if code, stdout, _ := run("version"); code != 0 || !strings.HasPrefix(stdout, "heathgap ") {
		t.Errorf("version: %d, %q", code, stdout)
	}
	if code, stdout, _ := run("--help"); code != 0 || !strings.Contains(stdout, "check") {
		t.Errorf("help: %d, %q", code, stdout)
	}
	if code, _, stderr := run("chekc"); code != ExitUsage || stderr == "" {
		t.Errorf("an unknown command: %d, %q", code, stderr)
	}
	if code, _, stderr := run("serve", "--operator", "/nowhere.toml"); code != ExitFailed || !strings.Contains(stderr, "/nowhere.toml") {
		t.Errorf("serve without its file: %d, %q", code, stderr)
	}
}

// Guards against a start of the sidecar without the operator's file that the command line names.
func TestServeSelectsProgram(t *testing.T) {
	file := filepath.Join(t.TempDir(), "operator.toml")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	c := serve{Operator: file}
	path, env, err := c.sidecarProgram(func() (string, error) { return "/x/bin/heathgap-cli", nil })
	if err != nil || path != "/x/bin/heathgap" || env[len(env)-1] != "HEATHGAP_OPERATOR="+file {
		t.Errorf("serve starts %q with %q, %v", path, env[len(env)-1], err)
	}
}

// When a cluster can't be reached or the file has no table [crew], a command ends with a clear error and exit code 1.
func TestCrewCommandsFail(t *testing.T) {
	write := fileWriter(t)
	empty, version := write("bare.toml", ""), write("version.toml", "max_attempts = 2\n")
	unreachable := write("away.toml", "[crew]\nname = \"c\"\naddress = \"127.0.0.1:9\"\n[[crew.keeper]]\nname = \"k\"\naddress = \"127.0.0.1:9\"\n")
	for _, c := range []struct {
		args []string
		want string
		code int
	}{
		{[]string{"crew", "status", "--operator", empty}, "no table [crew]", ExitFailed},
		{[]string{"crew", "status", "--operator", unreachable}, "no keeper answers: keeper k:", ExitFailed},
		{[]string{"crew", "undo", "--operator", unreachable}, "no keeper answers", ExitFailed},
		{[]string{"crew", "propose", "--operator", unreachable, version}, "no keeper answers", ExitFailed},
		{[]string{"crew", "propose", "--operator", unreachable, empty + "x"}, "no such file", ExitFailed},
		{[]string{"holdings", "status", "--operator", empty}, "no table [crew]", ExitFailed},
		{[]string{"holdings", "show", "k1", "--class", "pay", "--operator", unreachable}, "no keeper answers", ExitFailed},
		{[]string{"holdings", "show", "k1", "--operator", unreachable}, "missing flags: --class", ExitUsage},
		{[]string{"crew", "members"}, "missing flags: --operator", ExitUsage},
		{[]string{"crew", "diff", "--operator", unreachable, "x", "1"}, "from", ExitUsage},
	} {
		if code, _, stderr := run(c.args...); code != c.code || !strings.Contains(stderr, c.want) {
			t.Errorf("%v: exit code %d, %q", c.args, code, stderr)
		}
	}
	// heathgap-cli must start heathgap-crew for a file with [crew]: bin/heathgap is built without raft.
	s := serve{Operator: unreachable}
	if path, _, err := s.sidecarProgram(func() (string, error) { return "/x/bin/heathgap-cli", nil }); err != nil || path != "/x/bin/heathgap-crew" {
		t.Errorf("serve starts %q, %v", path, err)
	}
}
