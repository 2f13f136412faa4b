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

// ClientBehavior says how clients retry, leave and use connections.
type ClientBehavior struct {
	Retries   int           // most retries of a logical request
	Backoff   time.Duration // mean wait before the first retry, doubled for each further one; the wait varies by half either way
	Impatient float64       // share of logical requests whose client leaves early
	LeaveAt   float64       // part of the deadline after which those clients leave
	Churn     float64       // share of logical requests whose connection is closed after each answer
	Body      int           // bytes in the body of a POST request
}

// Class is a request class as clients know it.
type Class struct {
	Name     string
	Effect   decide.Effect
	Deadline time.Duration
}

// maxOpen bounds the logical requests that are open at once. Beyond it the lab itself is overloaded, and the run
// doesn't count.
const maxOpen = 50_000

// Driver sends the requests of a plan when they are due.
type Driver struct {
	Plan     *Plan
	Seed     uint64
	Classes  []Class
	Behavior ClientBehavior
	Client   *Client
	Checker  *oracle.Shared
	Base     time.Duration // when the plan begins, on the checker's clock

	open    atomic.Int64
	overrun atomic.Bool
	mu      sync.Mutex
	lag     *hdrhistogram.Histogram // how late requests were sent, in ns
	wait    sync.WaitGroup
}

// Run sends all requests of the plan. It returns when the last has ended or, once ctx is canceled, when the open ones
// have ended.
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

// timerSlack is how late the runtime's timers may be: a process that waits in epoll does so in whole milliseconds.
const timerSlack = 2 * time.Millisecond

// waitUntil waits for a time on the checker's clock: by a timer until shortly before it, and for the rest in nanosleep,
// which is exact to about 50 us.
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

// initLag creates the histogram of lags; its maximum is a minute.
func (d *Driver) initLag() { d.lag = hdrhistogram.New(1, int64(time.Minute), 3) }

// Overrun reports whether the run was stopped because more than maxOpen requests were open.
func (d *Driver) Overrun() bool { return d.overrun.Load() }

// Lag returns by how much requests were sent late, at a quantile from 0 to 100.
func (d *Driver) Lag(quantile float64) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.lag.ValueAtQuantile(quantile))
}

// fulfill sends one logical request, with its retries, until it is served, its time is up or its client gives up, and
// reports its end to the checker.
func (d *Driver) fulfill(ctx context.Context, a Arrival) {
	late := d.Checker.Now() - d.Base - a.At
	d.mu.Lock()
	d.lag.RecordValue(min(max(1, int64(late)), int64(time.Minute))) //nolint:errcheck // the value is within the histogram's bounds
	d.mu.Unlock()
	class := d.Classes[a.Class]
	random := rand.New(rand.NewPCG(a.Seed, 3))
	logical := oracle.LogicalRequest{Class: class.Name, Tenant: d.Plan.Tenants[a.Tenant].Name, Due: a.At}
	req := d.firstRequest(a, class, random)
	for {
		req.ID = fmt.Sprintf("%x.%d", a.Number, logical.Tries)
		req.Repeat = logical.Tries > 0
		logical.Tries++
		result := d.Client.Send(ctx, req)
		if result.Ending == Answered && result.Verdict == oracle.Served {
			logical.Served, logical.Took = true, d.Checker.Now()-d.Base-a.At
			break
		}
		if !d.waitToRetry(ctx, &req, logical.Tries, result, random) {
			break
		}
	}
	d.Checker.Ended(logical)
}

// firstRequest returns the first try of a logical request, without its ID.
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

// waitToRetry waits before a client's next try and returns true. It returns false if the client does not try again: its
// retries or its time are used up, it has left, the request was malformed, or an unsafe request may have run.
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
