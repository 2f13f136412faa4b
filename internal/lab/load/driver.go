package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sys/unix"

	"heathgap/decide"
	"heathgap/internal/lab/oracle"
)

// ClientBehavior are how clients behave.
type ClientBehavior struct {
	Retries   int           // asks again so often at most
	Backoff   time.Duration // before the first of them, doubled for each, give or take half
	Impatient float64       // share of clients that leave early
	LeaveAt   float64       // part of their time after which these leave
	Churn     float64       // share of requests that end their connection
	Body      int           // bytes of a request that has a body
}

// Class is a class as clients know it.
type Class struct {
	Name     string
	Effect   decide.Effect
	Deadline time.Duration
}

// maxOpen bounds the requests that clients have open: beyond it the lab itself
// is overrun, and the run void.
const maxOpen = 50_000

// Driver sends a plan's requests when they are due.
type Driver struct {
	Plan     *Plan
	Seed     uint64
	Classes  []Class
	Behavior ClientBehavior
	Client   *Client
	Checker  *oracle.Shared
	Base     time.Duration // on the book's clock: when the plan begins

	open    atomic.Int64
	overrun atomic.Bool
	mu      sync.Mutex
	lag     *hdrhistogram.Histogram // how late requests were sent, in ns
	wait    sync.WaitGroup
}

// Run sends all requests and returns when the last has ended, or the context has
// and those that are open have.
func (d *Driver) Run(ctx context.Context) {
	d.initLag()
	for src := d.Plan.Arrivals(d.Seed); ; {
		a, ok := src.Next()
		if !ok {
			break
		}
		d.waitUntil(ctx, d.Base+a.At)
		if ctx.Err() != nil {
			break
		}
		if d.open.Add(1) > maxOpen {
			d.overrun.Store(true)
			d.open.Add(-1)
			break
		}
		d.wait.Go(func() {
			defer d.open.Add(-1)
			d.fulfill(ctx, a)
		})
	}
	d.wait.Wait()
}

// timerSlack is by how much the runtime's timers may be late: where the process waits
// in epoll meanwhile, that counts whole milliseconds.
const timerSlack = 2 * time.Millisecond

// waitUntil waits for a time on the book's clock: by a timer until shortly before it,
// and for the rest in the kernel, which is exact to some 50 us.
func (d *Driver) waitUntil(ctx context.Context, at time.Duration) {
	if pause := at - d.Checker.Now() - timerSlack; pause > 0 {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
	}
	if remaining := at - d.Checker.Now(); remaining > 0 {
		sleep := unix.NsecToTimespec(int64(remaining))
		unix.Nanosleep(&sleep, nil) //nolint:errcheck // woken early, the request is some microseconds early
	}
}

func (d *Driver) initLag() { d.lag = hdrhistogram.New(1, int64(time.Minute), 3) }

// Overrun tells whether the load could not be held open any more.
func (d *Driver) Overrun() bool { return d.overrun.Load() }

// Lag is how late requests were sent at a quantile (0 to 100).
func (d *Driver) Lag(quantile float64) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.lag.ValueAtQuantile(quantile))
}

// fulfill asks for one thing until it is served, the client's time is up, or it has
// asked often enough.
func (d *Driver) fulfill(ctx context.Context, a Arrival) {
	late := d.Checker.Now() - d.Base - a.At
	d.mu.Lock()
	d.lag.RecordValue(min(max(1, int64(late)), int64(time.Minute))) //nolint:errcheck // it is within bounds
	d.mu.Unlock()
	class := d.Classes[a.Class]
	random := rand.New(rand.NewPCG(a.Seed, 3))
	logical := oracle.LogicalRequest{Class: class.Name, Tenant: d.Plan.Tenants[a.Tenant].Name, Due: a.At}
	ask := d.firstRequest(a, class, random)
	for {
		ask.ID = fmt.Sprintf("%x.%d", a.Number, logical.Tries)
		ask.Repeat = logical.Tries > 0
		logical.Tries++
		result := d.Client.Send(ctx, ask)
		if result.Ending == Answered && result.Verdict == oracle.Served {
			logical.Served, logical.Took = true, d.Checker.Now()-d.Base-a.At
			break
		}
		if !d.waitToRetry(ctx, &ask, logical.Tries, result, random) {
			break
		}
	}
	d.Checker.Ended(logical)
}

func (d *Driver) firstRequest(a Arrival, class Class, random *rand.Rand) Request {
	req := Request{
		Class: class.Name, Tenant: d.Plan.Tenants[a.Tenant].Name, Effect: class.Effect,
		Deadline: d.Base + a.At + class.Deadline, Close: random.Float64() < d.Behavior.Churn, Body: d.Behavior.Body,
	}
	if class.Effect == decide.Keyed {
		req.Key = fmt.Sprintf("k%x", a.Number)
	}
	if random.Float64() < d.Behavior.Impatient {
		req.Leave = d.Base + a.At + time.Duration(d.Behavior.LeaveAt*float64(class.Deadline))
	}
	return req
}

// waitToRetry waits before a client asks again; false if it does not.
func (d *Driver) waitToRetry(ctx context.Context, req *Request, tries int, result Result, random *rand.Rand) bool {
	neverRan := result.Ending == NotConnected || result.Ending == Answered && result.Verdict == oracle.Refused
	switch {
	case tries > d.Behavior.Retries, result.Ending == ClientLeft, result.Ending == Answered && result.Verdict == oracle.Malformed,
		req.Effect == decide.Unsafe && !neverRan:
		return false
	}
	pause := time.Duration(float64(d.Behavior.Backoff<<min(tries-1, 10)) * (0.5 + random.Float64()))
	pause = max(pause, result.RetryAfter)
	end := req.Deadline
	if req.Leave > 0 {
		end = req.Leave
	}
	if d.Checker.Now()+pause >= end {
		return false
	}
	select {
	case <-time.After(pause):
		return true
	case <-ctx.Done():
		return false
	}
}
