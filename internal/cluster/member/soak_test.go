package member

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"heathgap/internal/cluster/voter"
	"heathgap/internal/config"
	"heathgap/internal/env"
	"heathgap/internal/lab/scripted"
	"heathgap/internal/operator"
	"heathgap/internal/peerrpc"
)

var clusterStopSoak = scripted.NewSoak(8, 2)

// Parameters of a soak. The limits are those of the published protocol.
const (
	soakMembers      = 4 // sidecars, the first soakVoters of them voters; the zones take turns
	soakVoters       = 3
	soakEndpoints    = 3
	soakClients      = 24
	soakLease        = time.Second
	soakWarmUp       = 300 * time.Millisecond
	soakKillDelay    = 700 * time.Millisecond // the earliest kill comes that long after the longest deadline
	soakHoldUp       = 140 * time.Millisecond // a sidecar may be held up for 150 ms at any moment; the rest is for the test
	soakCrossing     = 50 * time.Millisecond  // a request that crosses the end of its connection was sent at most that long before it
	soakLostAfter    = 500 * time.Millisecond // an answer that comes that long after its request's time counts as lost
	soakMachineSlack = 100 * time.Millisecond // for what the test itself is late, where it only counts late answers
)

// runAsMember is the environment variable that makes the test's program a sidecar.
const runAsMember = "HEATHGAP_TEST_MEMBER"

func TestMain(m *testing.M) {
	if os.Getenv(runAsMember) != "" {
		os.Exit(Process())
	}
	os.Exit(m.Run())
}

// soakFault is what happens to another sidecar around the stop.
type soakFault string

// The faults of a soak.
const (
	faultNone soakFault = "none"
	faultKill soakFault = "killed"
	faultHang soakFault = "hangs"
)

// soakPlan is what the seed of a run decides.
type soakPlan struct {
	seed      uint64
	deadline  time.Duration // of the class
	alone     string        // the class's when_alone
	stopped   int           // the sidecar that is stopped as planned
	faulted   int           // the one with the fault
	fault     soakFault
	faultAt   time.Duration   // counted from the signal to stop
	holdUps   []time.Duration // when the stopped sidecar is held up, counted from the signal
	workUpTo  time.Duration   // the endpoints' work
	hanging   int             // endpoints that hang from the signal on
	remaining time.Duration   // the least that clients give a request; the most is the class's deadline
}

// newSoakPlan draws the plan of a seed.
func newSoakPlan(seed uint64) soakPlan {
	random := rand.New(rand.NewPCG(seed, 0x57a9))
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(random.Int64N(int64(high-low)))
	}
	p := soakPlan{
		seed: seed, deadline: between(700*time.Millisecond, 2*time.Second), alone: []string{"refuse", "refuse", "go_on"}[random.IntN(3)],
		stopped: random.IntN(soakMembers), fault: []soakFault{faultKill, faultKill, faultHang, faultNone}[random.IntN(4)],
		workUpTo: between(10*time.Millisecond, 300*time.Millisecond), hanging: random.IntN(soakEndpoints),
	}
	p.faulted = (p.stopped + 1 + random.IntN(soakMembers-1)) % soakMembers
	p.faultAt = between(-soakWarmUp, p.deadline+soakKillDelay)
	if random.IntN(4) > 0 { // mostly so late that the faulty sidecar is still a member when the other one fails what is pending
		p.faultAt = between(max(-soakWarmUp, p.deadline-soakLease), p.deadline)
	}
	p.remaining = between(100*time.Millisecond, p.deadline)
	if random.IntN(2) == 0 {
		p.remaining = between(p.deadline*3/4, p.deadline)
	}
	if random.IntN(3) == 0 {
		kill := p.deadline + soakKillDelay
		p.holdUps = []time.Duration{between(0, kill/2), kill - between(soakHoldUp, 2*soakHoldUp)}
	}
	return p
}

// Guards against requests that a planned stop leaves unanswered while another sidecar of the cluster is killed or hangs
// (review/3).
func TestStopsInAClusterLoseNoRequest(t *testing.T) {
	clusterStopSoak.Run(t, func(t *testing.T, seed uint64) { soakOnce(t, newSoakPlan(seed)) })
}

// soakProcess is one sidecar of a soak.
type soakProcess struct {
	*exec.Cmd
	name, listen, peerAddress string
	log                       *os.File
}

// soakRequest is one request of a client and what became of it.
type soakRequest struct {
	id, local   string
	remaining   time.Duration
	sent, ended time.Time
	status      int // 0 without a complete answer
	err         error
}

// soakRun is one run of a soak.
type soakRun struct {
	plan      soakPlan
	processes []*soakProcess
	signaled  time.Time
	killed    bool // the stopped sidecar was still running at the kill
	hanging   atomic.Bool
	ended     chan struct{} // closed when the stopped sidecar has ended

	mu       sync.Mutex
	requests []soakRequest
}

// soakOnce plays a plan and checks what came of it.
func soakOnce(t *testing.T, plan soakPlan) {
	r := &soakRun{plan: plan, ended: make(chan struct{})}
	discovery := scripted.StartDiscovery(t)
	var lines []map[string]any
	for i := range soakEndpoints {
		lines = append(lines, scripted.StartEndpoint(t, fmt.Sprint("e", i), r.serveOrder(i)).Line())
	}
	discovery.Publish(t, 1, lines...)
	for i := range soakMembers {
		r.processes = append(r.processes, &soakProcess{name: fmt.Sprint("m", i), listen: scripted.FreeAddress(t), peerAddress: scripted.FreeAddress(t)})
	}
	for i, p := range r.processes {
		conf := sidecarConfig(p.name, p.listen, discovery, plan.deadline, lines...)
		conf["settings"].(map[string]any)["az"] = zoneOf(i)
		r.launch(t, p, scripted.WriteConfig(t, conf))
	}
	r.awaitReplicas(t)
	var clients sync.WaitGroup
	for i := range soakClients {
		random := rand.New(rand.NewPCG(plan.seed, 100+uint64(i)))
		clients.Go(func() { r.sendOrders(fmt.Sprint("c", i), random) })
	}
	time.Sleep(soakWarmUp)
	r.stop()
	clients.Wait()
	r.check(t)
}

// zoneOf returns the zone of the n-th sidecar.
func zoneOf(n int) string { return string(rune('a' + n%3)) }

// serveOrder returns the handler of an endpoint.
func (r *soakRun) serveOrder(n int) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		if r.hanging.Load() && n < r.plan.hanging {
			<-q.Context().Done()
			return
		}
		time.Sleep(time.Duration(rand.Int64N(int64(r.plan.workUpTo))))
		io.WriteString(w, "done") //nolint:errcheck // the client notices an error
	}
}

// launch starts a sidecar as a member of the cluster.
func (r *soakRun) launch(t *testing.T, p *soakProcess, configPath string) {
	t.Helper()
	dir := t.TempDir()
	text := &strings.Builder{}
	fmt.Fprintf(text, "[crew]\nname = \"soak\"\naddress = %q\nlease = %q\ndata = %q\n", p.peerAddress, soakLease, filepath.Join(dir, "data"))
	for _, v := range r.processes[:soakVoters] {
		fmt.Fprintf(text, "[[crew.keeper]]\nname = %q\naddress = %q\n", v.name, v.peerAddress)
	}
	fmt.Fprintf(text, "[holdings]\ncopies = 2\n[[holdings.class]]\nname = \"order\"\nwhen_alone = %q\n", r.plan.alone)
	operatorPath := filepath.Join(dir, "operator.toml")
	logFile, err := os.Create(filepath.Join(dir, "log"))
	if err := errors.Join(err, os.Mkdir(filepath.Join(dir, "data"), 0o700), os.WriteFile(operatorPath, []byte(text.String()), 0o600)); err != nil {
		t.Fatal(err)
	}
	p.log, p.Cmd = logFile, exec.Command(os.Args[0])
	p.Env = append(os.Environ(), runAsMember+"=1", config.EnvFile+"="+configPath, operator.EnvFile+"="+operatorPath)
	p.Stderr = logFile
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.Process.Kill() //nolint:errcheck // it may have ended
		p.Wait()         //nolint:errcheck // as above
		logFile.Close()
	})
}

// awaitReplicas waits until all sidecars are members and each shard has all its replicas.
func (r *soakRun) awaitReplicas(t *testing.T) {
	t.Helper()
	var clients []*peerrpc.Client
	for _, v := range r.processes[:soakVoters] {
		client := peerrpc.NewClient(env.Real{}, "soak", "test", v.peerAddress)
		t.Cleanup(client.Close)
		clients = append(clients, client)
	}
	for end := time.Now().Add(testPatience); ; time.Sleep(20 * time.Millisecond) {
		for _, client := range clients {
			var status voter.Status
			if client.Call("status", struct{}{}, &status, time.Second) == nil && isReplicated(&status) {
				return
			}
		}
		if time.Now().After(end) {
			t.Fatal("the shards do not get their replicas")
		}
	}
}

// isReplicated reports whether a leader says that all sidecars are members and that each shard has two ready replicas.
func isReplicated(status *voter.Status) bool {
	if status.Ledger == nil || status.Leader != status.Name || status.Ledger.Placement == nil || len(status.Ledger.Members) < soakMembers {
		return false
	}
	primaries := map[string]bool{}
	for _, shard := range status.Ledger.Placement.Shards {
		if len(shard.Replicas) < 2 || !shard.Replicas[0].Ready || !shard.Replicas[1].Ready {
			return false
		}
		primaries[shard.Replicas[0].Name] = true
	}
	return len(primaries) == soakMembers
}

// stop plays the plan's stop and fault, and kills the stopped sidecar at the earliest moment.
func (r *soakRun) stop() {
	stopped, faulted := r.processes[r.plan.stopped], r.processes[r.plan.faulted]
	fault := func() {
		switch r.plan.fault {
		case faultKill:
			faulted.Process.Kill() //nolint:errcheck // it lives
		case faultHang:
			faulted.Process.Signal(syscall.SIGSTOP) //nolint:errcheck // it lives
		}
	}
	if r.plan.faultAt < 0 {
		fault()
		time.Sleep(-r.plan.faultAt)
	} else {
		time.AfterFunc(r.plan.faultAt, fault)
	}
	r.hanging.Store(true)
	r.signaled = time.Now()
	stopped.Process.Signal(syscall.SIGTERM) //nolint:errcheck // it lives
	killer := time.AfterFunc(r.plan.deadline+soakKillDelay, func() {
		stopped.Process.Kill() //nolint:errcheck // it may have ended
	})
	for _, at := range r.plan.holdUps {
		time.AfterFunc(at, func() {
			stopped.Process.Signal(syscall.SIGSTOP) //nolint:errcheck // it may have ended
			time.Sleep(soakHoldUp)
			stopped.Process.Signal(syscall.SIGCONT) //nolint:errcheck // as above
		})
	}
	stopped.Process.Wait() //nolint:errcheck // only its end matters
	r.killed = !killer.Stop()
	close(r.ended)
}

// sendOrders is a client: it sends orders on one connection after another, until the stopped sidecar accepts no more or has ended.
func (r *soakRun) sendOrders(name string, random *rand.Rand) {
	for n := 0; ; n++ {
		conn, err := net.Dial("tcp", r.processes[r.plan.stopped].listen)
		if err != nil {
			return
		}
		for in, goesOn := bufio.NewReader(conn), true; goesOn; n++ {
			remaining := r.plan.remaining + time.Duration(random.Int64N(int64(r.plan.deadline-r.plan.remaining)))
			request := sendOrder(conn, in, fmt.Sprintf("%s-%d", name, n), remaining)
			r.mu.Lock()
			r.requests = append(r.requests, request)
			r.mu.Unlock()
			goesOn = request.err == nil
			time.Sleep(time.Duration(random.Int64N(int64(20 * time.Millisecond))))
		}
		conn.Close()
		select {
		case <-r.ended:
			return
		default:
		}
	}
}

// errClosing means that the answer says that the connection ends.
var errClosing = errors.New("the connection ends with this answer")

// sendOrder sends an order and reads its answer.
func sendOrder(conn net.Conn, in *bufio.Reader, id string, remaining time.Duration) (request soakRequest) {
	request = soakRequest{id: id, local: conn.LocalAddr().String(), remaining: remaining, sent: time.Now()}
	defer func() { request.ended = time.Now() }()
	conn.SetDeadline(request.sent.Add(testPatience)) //nolint:errcheck // the write fails then
	_, request.err = io.WriteString(conn, orderText(id, remaining))
	if request.err != nil {
		return request
	}
	answer, err := http.ReadResponse(in, nil)
	if err == nil {
		_, err = io.ReadAll(answer.Body)
	}
	if request.err = err; err != nil {
		return request
	}
	if request.status = answer.StatusCode; answer.Close {
		request.err = errClosing
	}
	return request
}

// check reports what broke the rule.
func (r *soakRun) check(t *testing.T) {
	stopped := r.processes[r.plan.stopped]
	text, err := os.ReadFile(stopped.log.Name())
	if err != nil {
		t.Fatal(err)
	}
	statuses, stopping, late := map[int]int{}, 0, 0
	for i := range r.requests {
		request := &r.requests[i]
		statuses[request.status]++
		if request.ended.After(r.signaled) {
			stopping++
		}
		if request.status != 0 && request.ended.Sub(request.sent) > request.remaining+soakMachineSlack {
			late++
		}
		if what := r.lost(request, string(text)); what != "" {
			t.Errorf("%s: %s, sent %+.3f s, ended %+.3f s from the signal, has %.3f s, status %d, %v", what, request.id,
				request.sent.Sub(r.signaled).Seconds(), request.ended.Sub(r.signaled).Seconds(), request.remaining.Seconds(), request.status, request.err)
		}
	}
	t.Logf("%d requests, %d of them in the stop, by status %v, %d late, killed %v, %+v", len(r.requests), stopping, statuses, late, r.killed, r.plan)
	if statuses[http.StatusOK] == 0 || stopping == 0 {
		t.Error("no request was served, or none came in the stop: the run shows nothing")
	}
	if t.Failed() {
		clusterStopSoak.SaveLog(t, "./internal/cluster/member", "TestStopsInAClusterLoseNoRequest", r.plan.seed, string(text))
	}
}

// lost says how a request broke the rule; "" if it did not. text is the stopped sidecar's log.
func (r *soakRun) lost(request *soakRequest, text string) string {
	heldUp := time.Duration(len(r.plan.holdUps)) * soakHoldUp
	took := request.ended.Sub(request.sent)
	switch {
	case request.status != 0 && took > request.remaining+soakLostAfter:
		return "lost: answered too late"
	case request.status != 0:
		return ""
	case strings.Contains(text, fmt.Sprintf(`"last":%q`, request.id)):
		return "lost: it was read"
	case took > soakCrossing+heldUp:
		return "lost: its connection ended " + took.String() + " after it was sent"
	}
	return "" // it crossed the end of its connection
}
