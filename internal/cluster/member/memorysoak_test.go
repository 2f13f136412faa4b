package member

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"heathgap/internal/lab/scripted"
)

// The soak of memory: few and short runs in CI, longer ones by hand.
var (
	memorySeeds = flag.Int("memory.seeds", 2, "number of seeds of the soak of memory")
	memoryFirst = flag.Uint64("memory.first", 1, "first seed of the soak of memory")
	memoryTime  = flag.Duration("memory.time", 12*time.Second, "how long orders come in each run of the soak of memory")
)

// Parameters of the soak of memory.
const (
	memoryClients  = 24
	memorySample   = 20 * time.Millisecond // between two looks at what the processes have
	memoryRepeats  = 200                   // answers that are asked for again
	memoryDeadline = time.Second
	fewestRepeated = 50 // a run with fewer shows nothing
)

// memoryPlan is what the seed of a run decides.
type memoryPlan struct {
	seed     uint64
	memoryMB int
	longPart int // one order in so many has a long answer
	longest  int // bytes of an answer
	keyBytes int
	lost     int // the sidecar that is lost when half of the time is over; -1 for none
}

// newMemoryPlan draws the plan of a seed.
func newMemoryPlan(seed uint64) memoryPlan {
	random := rand.New(rand.NewPCG(seed, 0x3e3))
	return memoryPlan{
		seed: seed, memoryMB: []int{48, 64, 96}[random.IntN(3)], longPart: 1 + random.IntN(4), longest: []int{4000, 16_000, 16 << 10}[random.IntN(3)],
		keyBytes: []int{20, 60, 250}[random.IntN(3)], lost: random.IntN(soakMembers+1) - 1,
	}
}

// memoryRun is one run of the soak of memory.
type memoryRun struct {
	soakRun
	plan memoryPlan

	mu      sync.Mutex
	told    map[string]string // answers that were told, by key
	placed  int
	refused int
}

// Guards against a process that is killed for what it holds of others' orders, with which all that it held is lost (review/9): real processes
// under more orders than they have memory for, one of them lost meanwhile. None goes over its limit, and what was told is told again.
func TestHeldOrdersStayWithinTheLimit(t *testing.T) {
	for i := range uint64(*memorySeeds) {
		seed := *memoryFirst + i
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := &memoryRun{plan: newMemoryPlan(seed), told: map[string]string{}}
			r.play(t)
			if t.Failed() {
				t.Logf("again: go test ./internal/cluster/member -run TestHeldOrdersStayWithinTheLimit -memory.first %d -memory.seeds 1 -memory.time %v", seed, *memoryTime)
			}
		})
	}
}

// play plays the plan and checks what came of it.
func (r *memoryRun) play(t *testing.T) {
	discovery := scripted.StartDiscovery(t)
	var lines []map[string]any
	for i := range soakEndpoints {
		lines = append(lines, scripted.StartEndpoint(t, fmt.Sprint("e", i), r.serveOrder).Line())
	}
	discovery.Publish(t, 1, lines...)
	for i := range soakMembers {
		r.processes = append(r.processes, &soakProcess{name: fmt.Sprint("m", i), listen: scripted.FreeAddress(t), peerAddress: scripted.FreeAddress(t)})
	}
	r.soakRun.plan.alone = "refuse"
	for i, p := range r.processes {
		conf := sidecarConfig(p.name, p.listen, discovery, memoryDeadline, lines...)
		conf["settings"].(map[string]any)["az"] = zoneOf(i)
		conf["limits"] = map[string]any{"cores": 1.0, "memory_mb": r.plan.memoryMB, "sockets": 1024}
		r.launch(t, p, scripted.WriteConfig(t, conf))
	}
	r.awaitReplicas(t)
	stop := make(chan struct{})
	var watch, clients sync.WaitGroup
	most := make([]int, len(r.processes))
	watch.Go(func() { r.watchMemory(stop, most) })
	end := time.Now().Add(*memoryTime)
	for i := range memoryClients {
		clients.Go(func() { r.placeOrders(fmt.Sprintf("c%d", i), end) })
	}
	if r.plan.lost >= 0 {
		time.Sleep(*memoryTime / 2)
		r.processes[r.plan.lost].Process.Kill() //nolint:errcheck // it lives
	}
	clients.Wait()
	close(stop)
	watch.Wait()
	for i, kib := range most {
		if limit := r.plan.memoryMB << 10; kib > limit {
			t.Errorf("%s had %d KiB of its own memory, its limit is %d", r.processes[i].name, kib, limit)
		}
	}
	again, asked := r.repeatOrders(t)
	t.Logf("%d orders, %d told, %d refused; %d of %d told again; most memory in KiB %v; %+v", r.placed, len(r.told), r.refused, again, asked, most, r.plan)
	if asked < fewestRepeated || again < asked {
		t.Errorf("%d of %d answers that were told are told again", again, asked)
	}
}

// serveOrder is the endpoints' handler: each answer is another one.
func (r *memoryRun) serveOrder(w http.ResponseWriter, q *http.Request) {
	length := 20
	if rand.IntN(r.plan.longPart) == 0 {
		length = r.plan.longest
	}
	text := fmt.Sprintf("%016x", rand.Uint64())
	io.WriteString(w, text+strings.Repeat("x", length-len(text))) //nolint:errcheck // the client notices an error
}

// watchMemory notes the most memory that each process has of its own, until it is stopped.
func (r *memoryRun) watchMemory(stop <-chan struct{}, most []int) {
	for {
		for i, p := range r.processes {
			most[i] = max(most[i], ownMemory(p.Process.Pid))
		}
		select {
		case <-stop:
			return
		case <-time.After(memorySample):
		}
	}
}

// ownMemory returns the memory of a process that no file stands behind, in KiB; 0 if it has ended.
func ownMemory(pid int) (kib int) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if n, _ := fmt.Sscanf(line, "RssAnon: %d kB", &kib); n == 1 { //nolint:errcheck // other lines
			return kib
		}
	}
	return 0
}

// placeOrders is a client: it places orders through one sidecar after the other, each key once, until a time.
func (r *memoryRun) placeOrders(name string, end time.Time) {
	for n := 0; time.Now().Before(end); n++ {
		key := fmt.Sprintf("%s-%d-", name, n)
		key += strings.Repeat("k", max(0, r.plan.keyBytes-len(key)))
		status, body, err := r.order(r.processes[n%len(r.processes)], key)
		r.mu.Lock()
		r.placed++
		switch {
		case err == nil && status == http.StatusOK:
			r.told[key] = body
		case err == nil && status == http.StatusServiceUnavailable:
			r.refused++
		}
		r.mu.Unlock()
	}
}

// order places an order through a sidecar, on a connection of its own.
func (r *memoryRun) order(p *soakProcess, key string) (status int, body string, err error) {
	conn, err := net.Dial("tcp", p.listen)
	if err != nil {
		time.Sleep(memorySample) // it is lost
		return 0, "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testPatience)) //nolint:errcheck // the write fails then
	head := "POST /order/x HTTP/1.1\r\nHost: x\r\nConnection: close\r\nX-Txn: %016x\r\nX-Remaining: %.3f\r\nIdempotency-Key: %s\r\nContent-Length: 0\r\n\r\n"
	if _, err := fmt.Fprintf(conn, head, rand.Uint64(), memoryDeadline.Seconds(), key); err != nil {
		return 0, "", err
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	text, err := io.ReadAll(answer.Body)
	return answer.StatusCode, string(text), err
}

// repeatOrders asks again for some of the answers that were told, and returns how many are told again, the same, by any sidecar. Where a
// sidecar was lost, another one becomes the primary meanwhile.
func (r *memoryRun) repeatOrders(t *testing.T) (again, asked int) {
	t.Helper()
	end := time.Now().Add(testPatience)
	for key, body := range r.told {
		if asked++; asked > memoryRepeats {
			return again, asked - 1
		}
		told := false
		for i := 0; !told && time.Now().Before(end); i++ {
			status, got, err := r.order(r.processes[i%len(r.processes)], key)
			told = err == nil && status == http.StatusOK
			if told && got != body {
				t.Errorf("key %.20q has two answers", key)
			}
			if errors.Is(err, syscall.ECONNREFUSED) || err == nil && !told {
				time.Sleep(memorySample)
			}
		}
		if told {
			again++
		}
	}
	return again, asked
}
