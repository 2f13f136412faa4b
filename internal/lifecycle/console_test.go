package lifecycle

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"heathgap/internal/lab/scripted"
)

// callConsole sends a command to a console and returns its answer.
func callConsole(t *testing.T, address, line string) string {
	t.Helper()
	answer, err := tryConsole(address, line)
	if err != nil {
		t.Fatal(err)
	}
	return answer
}

func tryConsole(address, line string) (string, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(patience))
	io.WriteString(conn, line+"\n")
	answer, err := io.ReadAll(conn)
	return string(answer), err
}

// readStats returns the metrics that STATS prints.
func readStats(t *testing.T, address string) map[string]int {
	t.Helper()
	text := callConsole(t, address, "STATS")
	lines := strings.Split(strings.TrimSuffix(text, "\n"), "\n")
	if len(lines) < 2 || lines[len(lines)-1] != "EOF" {
		t.Fatalf("STATS answered %q", text)
	}
	metrics := map[string]int{}
	for _, line := range lines[1 : len(lines)-1] {
		name, rest, _ := strings.Cut(strings.TrimPrefix(line, "sidecar."), ":")
		value, kind, _ := strings.Cut(rest, "|")
		n, err := strconv.Atoi(value)
		if err != nil || kind != "c" && kind != "g" {
			t.Fatalf("STATS printed %q", line)
		}
		metrics[name] = n
	}
	return metrics
}

// Each request counts once, for its class and by its result.
func TestStatsByClass(t *testing.T) {
	slow := make(chan struct{})
	e := scripted.StartEndpoint(t, "e1", func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/look/slow":
			<-slow
		case "/burn/bad":
			w.WriteHeader(500)
		}
	})
	conf := scripted.SidecarConfig(scripted.StartDiscovery(t), e.Line())
	conf["console"] = "127.0.0.1:0"
	s := start(t, conf)
	console := s.console.Address()
	eventually(t, "READY", func() bool { return saysReady(console) })
	for range 3 {
		get(t, s.Address(), "/look")
	}
	send(t, request(t, s.Address(), http.MethodPost, "/burn/bad", "x"))
	get(t, s.Address(), "/nothing")
	go trySend(request(t, s.Address(), http.MethodGet, "/look/slow", ""))
	eventually(t, "the slow request is sent", func() bool { return e.Count() == 5 })
	want := map[string]int{"ok.look": 3, "errors.burn": 1, "shed.look": 0, "ok.pay": 0, "tries": 5, "active": 1,
		"pool_size": 1, "pool_ejected": 0}
	got := readStats(t, console)
	for name, n := range want {
		if got[name] != n {
			t.Errorf("%s: %d, want %d", name, got[name], n)
		}
	}
	close(slow)
	eventually(t, "all requests have ended", func() bool {
		got := readStats(t, console)
		return got["active"] == 0 && got["ok.look"] == 4
	})
	if c := s.Counters(); c.Served != 4 || c.Failed != 1 || c.Malformed != 1 {
		t.Errorf("the counters of the log differ from STATS: %+v", c)
	}
}

// An operator's ban is in effect once DISABLE is answered, and stays so over changes of the list and restarts of the
// endpoint; one ENABLE ends it.
func TestBanThroughTheConsole(t *testing.T) {
	e1, e2 := scripted.StartEndpoint(t, "e1", nil), scripted.StartEndpoint(t, "e2", nil)
	d := scripted.StartDiscovery(t)
	conf := scripted.SidecarConfig(d, e1.Line(), e2.Line())
	conf["console"] = "127.0.0.1:0"
	s := start(t, conf)
	console := s.console.Address()
	if got := callConsole(t, console, "DISABLE e9"); !strings.HasPrefix(got, "400 ") {
		t.Errorf("DISABLE of a name that was never listed: %q", got)
	}
	for range 2 {
		if got := callConsole(t, console, "DISABLE e1"); !strings.HasPrefix(got, "200 ") {
			t.Fatalf("DISABLE: %q", got)
		}
	}
	before := e1.Count()
	for i, list := range [][]map[string]any{{e2.Line()}, {e1.Line(), e2.Line()}, {e1.Line(), e2.Line()}} {
		d.Publish(t, 10+i, list...)
		eventually(t, "the list is in use", func() bool { return readStats(t, console)["pool_size"] == len(list) })
		for range 10 {
			if status, body := get(t, s.Address(), "/look"); status != 200 || body != "e2" {
				t.Fatalf("during the ban: %d %q", status, body)
			}
		}
	}
	if e1.Count() != before || readStats(t, console)["pool_ejected"] != 1 {
		t.Errorf("%d requests sent to the banned endpoint; metrics %v", e1.Count()-before, readStats(t, console))
	}
	callConsole(t, console, "ENABLE e1")
	if n := readStats(t, console)["pool_ejected"]; n != 0 {
		t.Errorf("%d ejected after the ban", n)
	}
	eventually(t, "it serves again", func() bool {
		get(t, s.Address(), "/look")
		return e1.Count() > before
	})
}

// There is no console unless one is configured, and an invalid address is an error that names the setting.
func TestConsoleIsOffByDefault(t *testing.T) {
	conf := scripted.SidecarConfig(scripted.StartDiscovery(t))
	if s := start(t, conf); s.console != nil {
		t.Error("there is a console though none is configured")
	}
	conf["console"], conf["listen"] = "nowhere", scripted.FreeAddress(t)
	p := launch(t, conf)
	if p.Wait(); p.ProcessState.ExitCode() != 1 || !strings.Contains(p.log.String(), "console: ") {
		t.Errorf("an invalid address: exit code %d,\n%s", p.ProcessState.ExitCode(), p.log)
	}
}
