package lifecycle

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"heathgap/internal/lab/scripted"
	"heathgap/internal/pipeline"
	"heathgap/internal/takeover"
)

// readyTime is the time within which nine in ten restarted processes have to be ready; here, all have to.
const readyTime = 10 * time.Second

// uselessDiscoveries returns the addresses of discoveries that fail in various ways, by the kind of failure. A restarted
// process has to serve without them.
func uselessDiscoveries(t *testing.T) map[string]string {
	crowded, broken, slow := scripted.StartDiscovery(t), scripted.StartDiscovery(t), scripted.Listen(t)
	crowded.SetDown(true)
	broken.SetBroken("{")
	ended := make(chan struct{})
	var wait sync.WaitGroup
	t.Cleanup(func() { close(ended); wait.Wait() })
	wait.Go(func() { // sends the beginning of an answer, byte by byte, and never the end
		tick := time.NewTicker(100 * time.Millisecond)
		defer tick.Stop()
		var conns []*scripted.Peer
		for {
			select {
			case <-ended:
				return
			case <-tick.C:
			}
			for slow.HasPending() {
				c := slow.Accept()
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n{") //nolint:errcheck // the sidecar may have closed it
				conns = append(conns, c)
			}
			for _, c := range conns {
				io.WriteString(c, " ") //nolint:errcheck // as above
			}
		}
	})
	return map[string]string{
		"silent": scripted.Listen(t).Address, "slow": slow.Address, "crowded": crowded.Address, "faulty": broken.Address,
		"away": scripted.FreeAddress(t), "cut off": scripted.UnreachableAddress(t),
	}
}

// awaitReady waits until the console of a process answers READY.
func (p *process) awaitReady(t *testing.T, conf map[string]any) {
	t.Helper()
	for end := time.Now().Add(patience); !saysReady(conf["console"].(string)); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			p.Process.Signal(syscall.SIGQUIT) //nolint:errcheck // prints its goroutines
			p.Wait()                          //nolint:errcheck // the signal ends it
			t.Fatalf("never READY, %v:\n%s", p.ProcessState, p.log)
		}
	}
}

// Guards against restarted processes that are not ready in time: thirty are killed at once and started again at once,
// while discovery is silent, slow, crowded, faulty, absent or unreachable. Each has to be ready and to serve.
func TestThirtyProcessesRestartedAtOnce(t *testing.T) {
	const each = 5
	e := scripted.StartEndpoint(t, "e1", nil)
	t.Setenv("TMPDIR", t.TempDir())
	type restarted struct {
		discovery string
		conf      map[string]any
		process   *process
	}
	var all []*restarted
	for name, address := range uselessDiscoveries(t) {
		for range each {
			conf := scripted.SidecarConfig(&scripted.Discovery{Address: address}, e.Line())
			// Addresses from which nothing is dialed: on others, an ephemeral port may take a free address at any
			// moment.
			host := fmt.Sprintf("127.0.2.%d", len(all)+1)
			conf["listen"], conf["console"] = scripted.FreeAddressAt(t, host), scripted.FreeAddressAt(t, host)
			all = append(all, &restarted{discovery: name, conf: conf})
		}
	}
	for round := range 2 { // the second time is the restart
		begin := time.Now()
		for _, r := range all {
			r.process = launch(t, r.conf)
		}
		for _, r := range all {
			r.process.awaitReady(t, r.conf)
			if took := time.Since(begin); took > readyTime {
				t.Errorf("round %d, %s: ready after %v", round, r.discovery, took)
			}
		}
		t.Logf("round %d: all %d are ready after %v", round, len(all), time.Since(begin))
		for _, r := range all {
			if status, body := get(t, r.conf["listen"].(string), "/look"); status != 200 || body != "e1" {
				t.Errorf("round %d, %s: answered %d %q", round, r.discovery, status, body)
			}
		}
		for _, r := range all {
			r.process.Process.Kill() //nolint:errcheck // it lives
		}
		for _, r := range all {
			r.process.Wait() //nolint:errcheck // it was killed
		}
	}
}

// The same on one core: thirty sidecars in one process start at once.
func TestThirtyStartsOnOneCore(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const each = 5
	e := scripted.StartEndpoint(t, "e1", nil)
	begin := time.Now()
	var all []*testSidecar
	var which []string
	for name, address := range uselessDiscoveries(t) {
		for range each {
			all = append(all, start(t, scripted.SidecarConfig(&scripted.Discovery{Address: address}, e.Line())))
			which = append(which, name)
		}
	}
	for i, s := range all {
		eventually(t, which[i]+": ready", s.Ready)
	}
	if took := time.Since(begin); took > readyTime {
		t.Errorf("%d are ready after %v", len(all), took)
	}
	for i, s := range all {
		if status, body := get(t, s.Address(), "/look"); status != 200 || body != "e1" {
			t.Errorf("%s: answered %d %q", which[i], status, body)
		}
	}
}

// Guards against a predecessor that hangs and thereby delays its successor: it hangs in each step of the protocol, with
// its connections open, and the successor has to be ready in time and serve.
func TestPredecessorThatHangsInEachStep(t *testing.T) {
	e := scripted.StartEndpoint(t, "e1", nil)
	d := scripted.StartDiscovery(t)
	for step, name := range []string{"before it accepts", "before it sends the listener", "before it sends its state", "asked to stop accepting"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conf := scripted.SidecarConfig(d, e.Line())
			address := scripted.FreeAddress(t)
			conf["listen"], conf["console"] = address, scripted.FreeAddress(t)
			temp, err := os.MkdirTemp("", "") // the path of a Unix socket has to be short
			if err != nil {
				t.Fatal(err)
			}
			defer os.RemoveAll(temp)
			served, err := takeover.Listen(address)
			if err != nil {
				t.Fatal(err)
			}
			path := takeover.SocketPath(temp, "t0", address)
			socket, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
			if err != nil {
				t.Fatal(err)
			}
			hanging := make(chan struct{})
			var wait sync.WaitGroup
			wait.Go(func() { // the predecessor, up to the step in which it hangs
				defer socket.Close()
				if step > 0 {
					conn, err := socket.AcceptUnix()
					if err != nil {
						t.Error(err)
						return
					}
					defer conn.Close()
					actUntilHang(t, conn, served, step)
				}
				<-hanging
			})
			defer func() { close(hanging); wait.Wait(); served.Close() }()
			begin := time.Now()
			p := launchAt(t, conf, scripted.WriteConfig(t, conf), "TMPDIR="+temp)
			p.awaitReady(t, conf)
			if took := time.Since(begin); took > readyTime {
				t.Errorf("ready after %v", took)
			}
			if step < 3 {
				served.Close() // connections that the kernel assigns to the hanging process are not the successor's to serve
			}
			if status, body := get(t, address, "/look"); status != 200 || body != "e1" {
				t.Errorf("answered %d %q:\n%s", status, body, p.log)
			}
		})
	}
}

// actUntilHang does what a predecessor does before the step in which it hangs.
func actUntilHang(t *testing.T, conn *net.UnixConn, served net.Listener, step int) {
	if step < 2 {
		return
	}
	file, err := served.(*net.TCPListener).File()
	if err != nil {
		t.Error(err)
		return
	}
	defer file.Close()
	if _, _, err := conn.WriteMsgUnix([]byte{'L'}, unix.UnixRights(int(file.Fd())), nil); err != nil {
		t.Error(err)
	}
	if step < 3 {
		return
	}
	if err := json.NewEncoder(conn).Encode(map[string]any{"version": 1, "state": pipeline.Handover{From: "127.0.0.1:1"}}); err != nil {
		t.Error(err)
	}
	var message map[string]any
	if err := json.NewDecoder(conn).Decode(&message); err != nil || message["take"] != true {
		t.Errorf("received %v, %v; want take", message, err)
	}
}
