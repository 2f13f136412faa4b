package lifecycle

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"heathgap/internal/config"
	"heathgap/internal/lab/scripted"
	"heathgap/internal/operator"
	"heathgap/internal/pipeline"
)

// runAsSidecar is the environment variable that makes the test program run as a sidecar.
const runAsSidecar = "HEATHGAP_TEST_AS_SIDECAR"

// runAndPanic is the value of that variable with which the sidecar panics as it starts.
const runAndPanic = "panics"

// descriptorLimitEnv is the environment variable that limits the descriptors of that sidecar.
const descriptorLimitEnv = "HEATHGAP_TEST_DESCRIPTORS"

func TestMain(m *testing.M) {
	if limit, err := strconv.ParseUint(os.Getenv(descriptorLimitEnv), 10, 64); err == nil {
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: limit, Max: limit}); err != nil {
			panic(err)
		}
	}
	switch os.Getenv(runAsSidecar) {
	case "":
	case runAndPanic:
		os.Exit(Main(Options{Decider: func(*config.Config) (pipeline.Decider, error) { panic("the decider") }}))
	default:
		os.Exit(Main(Options{Operator: operator.Default()}))
	}
	os.Exit(m.Run())
}

// process is a sidecar in its own process.
type process struct {
	*exec.Cmd
	log  *logBuffer
	path string // of its configuration file
}

func launch(t *testing.T, conf map[string]any) *process {
	t.Helper()
	return launchAt(t, conf, scripted.WriteConfig(t, conf))
}

// launchServing launches a process at an address of its own and waits until it is ready.
func launchServing(t *testing.T, conf map[string]any) (p *process, address string) {
	t.Helper()
	address = scripted.FreeAddress(t)
	conf["listen"] = address
	p = launch(t, conf)
	eventually(t, "ready", isReady(t, address))
	return p, address
}

// launchLimited launches a process that may hold the given number of descriptors.
func launchLimited(t *testing.T, conf map[string]any, descriptors int) *process {
	t.Helper()
	return launchAt(t, conf, scripted.WriteConfig(t, conf), descriptorLimitEnv+"="+strconv.Itoa(descriptors))
}

// launchAt launches a process with an existing configuration file and more environment variables.
func launchAt(t *testing.T, conf map[string]any, path string, more ...string) *process {
	t.Helper()
	p := &process{Cmd: exec.Command(os.Args[0]), log: &logBuffer{}, path: path}
	p.Env = append(append(os.Environ(), runAsSidecar+"=1", config.EnvFile+"="+p.path,
		"BALANCER_DISCOVERY="+conf["discovery"].(string)), more...)
	p.Stderr = p.log
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Process.Kill(); p.Wait() })
	return p
}

func isReady(t *testing.T, address string) func() bool {
	return func() bool {
		status, _, err := trySend(request(t, address, http.MethodGet, "/up", ""))
		return err == nil && status == 200
	}
}

// A sidecar that is killed can be started again at its address, without any state. One that gets SIGTERM exits with code
// 0 and its counters in the log.
func TestRestarts(t *testing.T) {
	e := scripted.StartEndpoint(t, "e1", nil)
	conf := scripted.SidecarConfig(scripted.StartDiscovery(t), e.Line())
	first, address := launchServing(t, conf)
	keep, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer keep.Close()
	if status, _ := get(t, address, "/look"); status != 200 {
		t.Fatalf("first: %d", status)
	}
	first.Process.Kill()
	first.Wait()
	second := launch(t, conf)
	eventually(t, "the second is ready", isReady(t, address))
	if status, body := get(t, address, "/look"); status != 200 || body != "e1" {
		t.Errorf("second: %d %q", status, body)
	}
	second.Process.Signal(syscall.SIGUSR1)
	eventually(t, "counters on request", func() bool { return strings.Contains(second.log.String(), `"taken":1`) })
	second.Process.Signal(syscall.SIGTERM)
	if err := second.Wait(); err != nil {
		t.Errorf("after SIGTERM: %v, want exit code 0", err)
	}
	if log := second.log.String(); !strings.Contains(log, `"message":"stopped"`) || !strings.Contains(log, `"served":1`) {
		t.Errorf("the log has no counters at exit:\n%s", log)
	}
}

// Guards against a SIGHUP that ends the process, and against a reload that loses requests or keeps the discovery that
// the environment names. The discovery that the new file names is asked for its full list, since its versions are its
// own. An invalid file changes nothing.
func TestReload(t *testing.T) {
	e1, e2 := scripted.StartEndpoint(t, "e1", nil), scripted.StartEndpoint(t, "e2", nil)
	first, second := scripted.StartDiscovery(t), scripted.StartDiscovery(t)
	first.Publish(t, 900, e1.Line())
	second.Publish(t, 3, e2.Line())
	conf := scripted.SidecarConfig(first, e1.Line())
	p, address := launchServing(t, conf)
	eventually(t, "the first watch waits", func() bool { return first.NumCalls() == 2 })
	stop := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
			}
			if status, _, err := trySend(request(t, address, http.MethodGet, "/look", "")); status != 200 {
				t.Errorf("during reloads: %d, %v", status, err)
			}
		}
	})
	logged := func(text string) func() bool {
		return func() bool { return strings.Contains(p.log.String(), text) }
	}
	reload := func(text []byte) {
		if err := os.WriteFile(p.path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		p.Process.Signal(syscall.SIGHUP)
	}
	reload([]byte(`{"name":"t0","listen":7}`))
	eventually(t, "the invalid key is logged", logged("listen: want a string"))
	another := scripted.SidecarConfig(second, e2.Line())
	for _, class := range another["settings"].(map[string]any)["profiles"].([]any) {
		class.(map[string]any)["name"] = "their-" + class.(map[string]any)["name"].(string)
	}
	theirs, err := json.Marshal(another)
	if err != nil {
		t.Fatal(err)
	}
	reload(theirs)
	eventually(t, "another customer's file is rejected", logged("another installation's configuration"))
	if second.NumCalls() > 0 || logged(`"message":"reloaded"`)() {
		t.Errorf("it has moved to another customer's discovery: %d calls", second.NumCalls())
	}
	conf["discovery"], conf["limits"] = second.Address, map[string]any{"memory_mb": 100}
	text, err := json.Marshal(conf)
	if err != nil {
		t.Fatal(err)
	}
	for range 20 {
		reload(text)
	}
	eventually(t, "what needs a restart is logged", logged(`"keys":["limits"]`))
	eventually(t, "the new list is used", func() bool {
		_, body, _ := trySend(request(t, address, http.MethodGet, "/look", ""))
		return body == "e2"
	})
	eventually(t, "the watch of the old discovery has ended", logged(`"reason":"moved"`))
	second.Publish(t, 4, e1.Line())
	eventually(t, "the new discovery is watched", func() bool {
		_, body, _ := trySend(request(t, address, http.MethodGet, "/look", ""))
		return body == "e1"
	})
	close(stop)
	wait.Wait()
	if asked := second.Queries(); asked[0] != "" || !strings.HasPrefix(asked[1], "after=3&") {
		t.Errorf("the new discovery was asked %q, want the whole list and what follows version 3", asked)
	}
	p.Process.Signal(syscall.SIGTERM)
	p.Process.Signal(syscall.SIGHUP)
	if err := p.Wait(); err != nil {
		t.Errorf("after SIGTERM and SIGHUP: %v, want exit code 0", err)
	}
}

// An invalid configuration ends the start with one log line that names the key.
func TestBadConfigurationEndsTheStart(t *testing.T) {
	conf := scripted.SidecarConfig(scripted.StartDiscovery(t))
	conf["seed"] = "xyz"
	p := launch(t, conf)
	if err := p.Wait(); p.ProcessState.ExitCode() != 1 {
		t.Errorf("ended with %v, want exit code 1", err)
	}
	log := p.log.String()
	if strings.Count(log, "\n") != 1 || !strings.Contains(log, "seed: ") {
		t.Errorf("want one line that names the seed, got:\n%s", log)
	}
}

// Guards against a panic that ends a process without a trace in its output.
func TestPanicIsWritten(t *testing.T) {
	conf := scripted.SidecarConfig(scripted.StartDiscovery(t))
	p := launchAt(t, conf, scripted.WriteConfig(t, conf), runAsSidecar+"="+runAndPanic)
	if err := p.Wait(); err == nil || !strings.Contains(p.log.String(), "panic: the decider") {
		t.Errorf("ended with %v and %q", err, p.log)
	}
}

// An address that is in use ends the start, too.
func TestTakenAddressEndsTheStart(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	conf := scripted.SidecarConfig(scripted.StartDiscovery(t))
	conf["listen"] = taken.Addr().String()
	p := launch(t, conf)
	if err := p.Wait(); p.ProcessState.ExitCode() != 1 || !strings.Contains(p.log.String(), "listen") {
		t.Errorf("ended with %v and\n%s", err, p.log)
	}
}

// Guards against running out of descriptors or memory: with a low limit of descriptors and more callers than that, the
// process keeps serving.
func TestLimitsOfTheProcess(t *testing.T) {
	const sockets, callers, memoryMB = 128, 300, 192
	e := scripted.StartEndpoint(t, "e1", func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		w.Write(bytes.Repeat([]byte("x"), 60<<10))
	})
	conf := scripted.SidecarConfig(scripted.StartDiscovery(t), e.Line())
	conf["limits"] = map[string]any{"memory_mb": memoryMB, "sockets": sockets}
	p, address := launchServing(t, conf)
	setDescriptors(t, p.Process.Pid, sockets)
	var wait sync.WaitGroup
	for range callers {
		wait.Go(func() {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(patience))
			body := strings.Repeat("y", 60<<10)
			io.WriteString(conn, "POST /pay HTTP/1.1\r\nHost: x\r\nX-Txn: "+newID()+"\r\nX-Remaining: 2\r\n"+
				"Idempotency-Key: k\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
			answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Errorf("a caller got no answer: %v", err)
				return
			}
			if _, err := io.Copy(io.Discard, answer.Body); err != nil {
				t.Errorf("a caller got a truncated answer: %v", err)
			}
		})
	}
	wait.Wait()
	if status, _ := get(t, address, "/up"); status != 200 {
		t.Errorf("/up afterwards: %d, want 200", status)
	}
	if kb := peakMemory(t, p.Process.Pid); kb > memoryMB<<10 {
		t.Errorf("peak memory %d kB, the limit is %d kB", kb, memoryMB<<10)
	}
}

// peakMemory returns the largest resident size that a process has had, in kB.
func peakMemory(t *testing.T, pid int) int {
	t.Helper()
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.Fields(value)[0])
			if err != nil {
				t.Fatal(err)
			}
			return kb
		}
	}
	t.Fatal("no VmHWM in /proc/PID/status")
	return 0
}

// setDescriptors limits the descriptors of a running process.
func setDescriptors(t *testing.T, pid, descriptors int) {
	t.Helper()
	limit := unix.Rlimit{Cur: uint64(descriptors), Max: uint64(descriptors)}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		t.Fatal(err)
	}
}
