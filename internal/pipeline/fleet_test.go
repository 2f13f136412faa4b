package pipeline

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"heathgap/decide"
	"heathgap/internal/config"
	"heathgap/internal/env"
	"heathgap/internal/httpwire"
	"heathgap/internal/lab/scripted"
)

// Tests of a fleet of sidecars at one discovery, on a simulated clock.

// queueingDiscovery is a discovery that processes calls one after another. A call that waits for longer than maxQueueWait is
// refused then, but has cost its processing time all the same.
type queueingDiscovery struct {
	env.Real
	workPerCall time.Duration // processing time of a call
	serving     sync.WaitGroup

	mu        sync.Mutex
	random    *rand.Rand
	down      bool
	wentDown  chan struct{} // closed when discovery goes down, which ends its watches
	busyUntil time.Time     // when all accepted calls are processed
	version   int           // of the list
	refused   int
}

// RandomDuration implements env.Env.
func (d *queueingDiscovery) RandomDuration(most time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.random.Int64N(int64(most)))
}

// Dial implements env.Env.
func (d *queueingDiscovery) Dial(context.Context, string, time.Duration) (net.Conn, error) {
	here, there := net.Pipe()
	d.serving.Go(func() { d.serve(there) })
	return here, nil
}

// enqueue adds a call to the queue and returns when it is processed, or, with ok false, when it is refused.
func (d *queueingDiscovery) enqueue() (at time.Time, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if d.busyUntil.Before(now) {
		d.busyUntil = now
	}
	if d.down || d.busyUntil.Sub(now) > maxQueueWait {
		d.refused++
		if !d.down {
			d.busyUntil = d.busyUntil.Add(d.workPerCall)
		}
		return now.Add(maxQueueWait), false
	}
	d.busyUntil = d.busyUntil.Add(d.workPerCall)
	return d.busyUntil, true
}

func (d *queueingDiscovery) setDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down, d.busyUntil = down, time.Now()
	d.version++ // each outage and each return brings a change of the list
	if down {
		close(d.wentDown)
	} else {
		d.wentDown = make(chan struct{})
	}
}

// serve answers the calls on a connection. A goroutine reads ahead, so that the end of the connection is noticed.
func (d *queueingDiscovery) serve(conn net.Conn) {
	defer conn.Close()
	calls := make(chan *http.Request)
	gone := make(chan struct{})
	d.serving.Go(func() {
		defer close(gone)
		r := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			calls <- request
		}
	})
	for {
		select {
		case <-gone:
			return
		case request := <-calls:
			if !d.answer(conn, request, gone) {
				return
			}
		}
	}
}

// answer answers one call. It returns false if the connection ends with it.
func (d *queueingDiscovery) answer(conn net.Conn, request *http.Request, gone <-chan struct{}) bool {
	d.mu.Lock()
	ends := d.wentDown
	d.mu.Unlock()
	at, ok := d.enqueue()
	time.Sleep(time.Until(at))
	if !ok {
		conn.Write([]byte("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")) //nolint:errcheck // its caller may have gone
		return false
	}
	after, _ := strconv.Atoi(request.URL.Query().Get("after"))
	ms, _ := strconv.Atoi(request.URL.Query().Get("wait_ms"))
	d.mu.Lock()
	news := d.version > after
	d.mu.Unlock()
	if !news {
		select {
		case <-gone:
			return false
		case <-ends:
			return false
		case <-time.After(time.Duration(ms) * time.Millisecond):
		}
	}
	d.mu.Lock()
	list := fmt.Sprintf(`{"index":%d,"snapshot":%v,"endpoints":[]}`, d.version, after == 0)
	d.mu.Unlock()
	_, err := conn.Write([]byte(scripted.OK(list)))
	return err == nil
}

// startFleet starts so many engines at a discovery at the same time, and returns them with a function that stops them.
func startFleet(t *testing.T, d *queueingDiscovery, count int) (fleet []*Engine, stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	for n := range count {
		conf := &config.Config{
			Discovery: "discovery",
			Settings: decide.Settings{
				Classes: []decide.Class{{Name: "look", Effect: decide.Safe, Aim: time.Second}},
				Number:  n, Peers: count, MustPoll: true, Rules: decide.Rules{DrainGrace: time.Second},
			},
			ConnectTimeout: time.Second, EndpointConns: 10, IdleTimeout: time.Minute,
			KnownList: &httpwire.List{Index: 1},
		}
		balancer, err := decide.New(conf.Settings, uint64(n))
		if err != nil {
			t.Fatal(err)
		}
		e := New(conf, d, Logs{All: zerolog.Nop(), ConnEnds: zerolog.Nop()}, balancer)
		fleet = append(fleet, e)
		go e.Run(ctx)
	}
	return fleet, func() {
		cancel()
		for _, e := range fleet {
			<-e.stopped
		}
		d.serving.Wait()
	}
}

// countStale returns how many sidecars of a fleet may have missed changes.
func countStale(fleet []*Engine) int {
	n := 0
	for _, e := range fleet {
		if e.metrics.ListStaleMS.Load() > 0 {
			n++
		}
	}
	return n
}

// waitAllCurrent waits until no sidecar of a fleet may have missed changes, limit at most. It returns how long that took, and how
// many might have missed changes after each second.
func waitAllCurrent(fleet []*Engine, limit time.Duration) (took time.Duration, stalePerSecond []int) {
	const pollInterval = 100 * time.Millisecond
	begin := time.Now()
	for n := 1; n > 0 && took < limit; {
		time.Sleep(pollInterval)
		took, n = time.Since(begin), countStale(fleet)
		if took%time.Second == 0 {
			stalePerSecond = append(stalePerSecond, n)
		}
	}
	return took, stalePerSecond
}

// maxRefusedPause returns the longest pause after a refused call.
func maxRefusedPause(peers int) time.Duration {
	least, spread := decide.ListRetryDelay(0, peers, true)
	return least + spread
}

// Guards against a fleet that keeps its discovery overloaded: if refused calls are repeated at once, they take all of its capacity,
// and most sidecars are refused for as long as that lasts (report 4547c5). A sidecar that is refused twice must get the list within
// two of its longest pauses, or before changes count as delivered. This is checked after an outage of discovery, and when a fleet
// has started, or moved to another discovery, at the same time and all of it has called once.
func TestFleetGetsTheListFromABusyDiscovery(t *testing.T) {
	const (
		outage  = 8 * time.Second
		settled = 30 * time.Second        // by then all wait for changes
		started = 3500 * time.Millisecond // by then all have called once
	)
	for _, c := range []struct {
		count int
		each  time.Duration // processing time of a call: 18 ms as on the operators' bench at 376 sidecars; faster for a larger fleet
	}{
		{10, 18 * time.Millisecond}, {50, 18 * time.Millisecond}, {150, 18 * time.Millisecond}, {376, 18 * time.Millisecond},
		{900, 9 * time.Millisecond},
	} {
		limit := max(2*maxRefusedPause(c.count), deliveryWhenPolled)
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%d callers, seed %d", c.count, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					d := &queueingDiscovery{workPerCall: c.each, version: 2, wentDown: make(chan struct{}), random: rand.New(rand.NewPCG(seed, 0))}
					fleet, stop := startFleet(t, d, c.count)
					defer stop()
					first, left := waitAllCurrent(fleet, 2*limit)
					if first > started+limit {
						t.Errorf("simultaneous start: all lists current after %v, want %v; stale ones after each second: %v", first, started+limit, left)
					}
					time.Sleep(settled)
					d.setDown(true)
					time.Sleep(outage)
					d.setDown(false)
					took, left := waitAllCurrent(fleet, 2*limit)
					if took > limit {
						t.Errorf("outage: all lists current after %v, want %v; stale ones after each second: %v", took, limit, left)
					}
					time.Sleep(settled)
					for _, e := range fleet {
						e.MoveDiscovery("another discovery")
					}
					synctest.Wait()
					moved, left := waitAllCurrent(fleet, 2*limit)
					if moved > started+limit {
						t.Errorf("reload: all lists current after %v, want %v; stale ones after each second: %v", moved, started+limit, left)
					}
					t.Logf("%d calls refused; all lists current %v after the start, %v after the outage, %v after the reload",
						d.refused, first, took, moved)
				})
			})
		}
	}
}
