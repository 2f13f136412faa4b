package lifecycle

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"heathgap/internal/lab/scripted"
	"heathgap/internal/takeover"
)

// launchReady starts another process of a sidecar, with its own console, and waits until it is ready.
func launchReady(t *testing.T, conf map[string]any) (p *process, console string) {
	t.Helper()
	console = scripted.FreeAddress(t)
	conf["console"] = console
	p = launch(t, conf)
	eventually(t, "READY", func() bool { return saysReady(console) })
	return p, console
}

func saysReady(console string) bool {
	answer, err := tryConsole(console, "READY")
	return err == nil && strings.HasPrefix(answer, "200 ")
}

// upgradeConfig returns a configuration whose processes use a takeover socket in a directory of the test.
func upgradeConfig(t *testing.T, d *scripted.Discovery, known ...map[string]any) (conf map[string]any, address string) {
	t.Helper()
	t.Setenv("TMPDIR", t.TempDir())
	conf = scripted.SidecarConfig(d, known...)
	address = scripted.FreeAddress(t)
	conf["listen"] = address
	return conf, address
}

// startCallers sends requests all the time, on persistent and on new connections, until stopped. stop returns how many
// were answered 200, and the other results.
func startCallers(t *testing.T, address string) (stop func() (served int64, other []string)) {
	t.Helper()
	ended := make(chan struct{})
	var wait sync.WaitGroup
	var served atomic.Int64
	var mu sync.Mutex
	var other []string
	for i := range 8 {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: i%2 == 0}, Timeout: patience}
		wait.Go(func() {
			for {
				select {
				case <-ended:
					return
				default:
				}
				answer, err := client.Do(request(t, address, http.MethodGet, "/look", ""))
				if err == nil && answer.StatusCode == 200 {
					served.Add(1)
					answer.Body.Close()
					continue
				}
				mu.Lock()
				if err != nil {
					other = append(other, err.Error())
				} else {
					other = append(other, answer.Status)
				}
				mu.Unlock()
			}
		})
	}
	return func() (int64, []string) {
		close(ended)
		wait.Wait()
		return served.Load(), other
	}
}

// A new process takes over from the old one under load: no connection is refused or reset, bans are in effect in both
// processes and after the upgrade, and only the old one ends.
func TestUpgradeUnderLoad(t *testing.T) {
	e1, e2 := scripted.StartEndpoint(t, "e1", nil), scripted.StartEndpoint(t, "e2", nil)
	conf, address := upgradeConfig(t, scripted.StartDiscovery(t), e1.Line(), e2.Line())
	old, oldConsole := launchReady(t, conf)
	if got := callConsole(t, oldConsole, "DISABLE e1"); !strings.HasPrefix(got, "200 ") {
		t.Fatalf("DISABLE: %q", got)
	}
	before := e1.Count()
	stop := startCallers(t, address)
	var last *process
	console := oldConsole
	for range 3 { // an upgraded process can be upgraded again
		next, nextConsole := launchReady(t, conf)
		time.Sleep(100 * time.Millisecond)
		old.Process.Signal(syscall.SIGTERM)
		begin := time.Now()
		if err := old.Wait(); err != nil || time.Since(begin) > 3*time.Second {
			t.Errorf("the old process: %v after %v", err, time.Since(begin))
		}
		old, last, console = next, next, nextConsole
	}
	served, other := stop()
	if len(other) > 0 || served < 100 {
		t.Errorf("%d served, and %d others: %.300q", served, len(other), other)
	}
	if e1.Count() != before || readStats(t, console)["pool_ejected"] != 1 {
		t.Errorf("%d requests sent to the banned endpoint during upgrades; metrics %v", e1.Count()-before, readStats(t, console))
	}
	if got := callConsole(t, console, "ENABLE e1"); !strings.HasPrefix(got, "200 ") {
		t.Errorf("ENABLE: %q", got)
	}
	eventually(t, "e1 serves again", func() bool { get(t, address, "/look"); return e1.Count() > before })
	last.Process.Signal(syscall.SIGTERM)
	if err := last.Wait(); err != nil {
		t.Errorf("the last process: %v", err)
	}
	if left, _ := os.ReadDir(os.TempDir()); len(left) > 0 {
		t.Errorf("%v is left in the directory", left)
	}
}

// While both processes run, a ban or its end at either console is in effect in both before it is answered.
func TestBansBindInBothProcesses(t *testing.T) {
	d := scripted.StartDiscovery(t)
	e1, e2 := scripted.StartEndpoint(t, "e1", nil), scripted.StartEndpoint(t, "e2", nil)
	conf, _ := upgradeConfig(t, d, e1.Line(), e2.Line())
	_, first := launchReady(t, conf)
	_, second := launchReady(t, conf)
	for i, call := range []struct {
		at, command string
		ejected     int
	}{
		{first, "DISABLE e1", 1}, {second, "DISABLE e1", 1}, {second, "DISABLE e2", 2}, {first, "ENABLE e2", 1},
		{second, "ENABLE e1", 0}, {first, "DISABLE e2", 1},
	} {
		if got := callConsole(t, call.at, call.command); !strings.HasPrefix(got, "200 ") {
			t.Fatalf("%d, %s: %q", i, call.command, got)
		}
		for _, console := range []string{first, second} {
			if n := readStats(t, console)["pool_ejected"]; n != call.ejected {
				t.Errorf("%d, after %s: %d ejected, want %d", i, call.command, n, call.ejected)
			}
		}
	}
}

// Guards against a new process that takes the sidecar down with it: the old one accepts again when its successor dies,
// and lets another one take over.
func TestSuccessorThatDies(t *testing.T) {
	e := scripted.StartEndpoint(t, "e1", nil)
	conf, address := upgradeConfig(t, scripted.StartDiscovery(t), e.Line())
	old, _ := launchReady(t, conf)
	for range 2 {
		next, _ := launchReady(t, conf)
		next.Process.Kill()
		next.Wait()
		eventually(t, "the old one accepts again", func() bool {
			status, _, err := trySend(request(t, address, http.MethodGet, "/look", ""))
			return err == nil && status == 200
		})
	}
	if !strings.Contains(old.log.String(), "serving again") {
		t.Errorf("the old process has not noticed that its successor died:\n%s", old.log)
	}
	conf["seed"] = "none"
	failed := launch(t, conf)
	if failed.Wait(); failed.ProcessState.ExitCode() != 1 {
		t.Errorf("a successor with an invalid configuration: exit code %d", failed.ProcessState.ExitCode())
	}
	if status, _ := get(t, address, "/look"); status != 200 {
		t.Errorf("after a successor with an invalid configuration: %d", status)
	}
}

// A file at the socket's path that is not the socket of a predecessor is logged, and the process starts without a
// predecessor.
func TestStaleSocket(t *testing.T) {
	e := scripted.StartEndpoint(t, "e1", nil)
	conf, address := upgradeConfig(t, scripted.StartDiscovery(t), e.Line())
	path := takeover.SocketPath(os.TempDir(), "t0", address)
	for _, corrupt := range []bool{false, true} {
		if corrupt {
			if err := os.WriteFile(path, []byte("{\"v"), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		p, _ := launchReady(t, conf)
		if logged := strings.Contains(p.log.String(), "no predecessor"); logged != corrupt {
			t.Errorf("corrupt %v, logged %v\n%s", corrupt, logged, p.log)
		}
		if status, _ := get(t, address, "/look"); status != 200 {
			t.Errorf("corrupt %v: %d", corrupt, status)
		}
		p.Process.Kill()
		p.Wait()
		os.Remove(path)
	}
}

// Long answers that outlast the old process continue in its successor, unchanged, with a length or in chunks, from slow
// endpoints and to slow callers.
func TestLongAnswersOverAnUpgrade(t *testing.T) {
	const long = 12 << 20
	text := patternBody(long)
	e := scripted.StartEndpoint(t, "e1", func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.URL.Path, "told") {
			w.Header().Set("Content-Length", strconv.Itoa(long))
		}
		if strings.Contains(r.URL.Path, "late") { // it starts when the others have been handed over
			time.Sleep(3050 * time.Millisecond)
		}
		if strings.Contains(r.URL.Path, "reader") {
			w.Write(text)
			return
		}
		w.Write(text[:100_000])
		for at := 100_000; at < long; at += long / 16 {
			w.(http.Flusher).Flush()
			time.Sleep(500 * time.Millisecond)
			w.Write(text[at:min(long, at+long/16)])
		}
	})
	conf, address := upgradeConfig(t, scripted.StartDiscovery(t), e.Line())
	setDeadlines(conf, 5000)
	old, _ := launchReady(t, conf)
	var wait sync.WaitGroup
	paths := []string{"/look/told/giver", "/look/chunks/giver", "/look/told/reader", "/look/chunks/reader", "/look/late/told"}
	for _, path := range paths {
		wait.Go(func() {
			r := request(t, address, http.MethodGet, path, "")
			r.Header.Set("X-Remaining", "4.9")
			answer, err := http.DefaultClient.Do(r)
			if err != nil || answer.StatusCode != 200 {
				t.Errorf("%s: %v, %v", path, answer, err)
				return
			}
			defer answer.Body.Close()
			if strings.Contains(path, "reader") {
				time.Sleep(4 * time.Second)
			}
			if got, err := io.ReadAll(answer.Body); err != nil || !bytes.Equal(got, text) {
				t.Errorf("%s: %d bytes, %v; want %d", path, len(got), err, long)
			}
		})
	}
	eventually(t, "all requests are sent", func() bool { return e.Count() == len(paths) })
	next, _ := launchReady(t, conf)
	old.Process.Signal(syscall.SIGTERM)
	begin := time.Now()
	if err := old.Wait(); err != nil || time.Since(begin) > 4*time.Second {
		t.Errorf("the old process: %v after %v", err, time.Since(begin))
	}
	next.Process.Signal(syscall.SIGTERM) // the answers that it continues outlast its own stop, too
	wait.Wait()
	if err := next.Wait(); err != nil {
		t.Errorf("the new process: %v", err)
	}
	for _, count := range []string{`"served":5`, `"gone_on":5`, `"held":0`} {
		if !strings.Contains(next.log.String(), count) {
			t.Errorf("no %s in the new process's log", count)
		}
	}
}
