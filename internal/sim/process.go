package sim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"heathgap/internal/env"
)

// Process is one start of a sidecar's process: the env.Env that its code runs on.
type Process struct {
	w       *World
	id      string // name and start
	address string
	seed    uint64
	route   func(address string) peer // who listens at an address; nil for nobody
	rng     *rand.Rand

	dead            bool
	listener        *listener
	conns           []*conn
	counts          map[string]int // of goroutines, dials and timers, by what for
	dialsInProgress map[string]int // dials under way, by address

	// Bugs that tests plant into the process's connections.
	resendOnReset        bool  // a used connection that breaks has its message sent again
	repeatAnswerOnCancel bool  // a connection that is given up has the newest answer written again
	lastAnsweredConn     *conn // the caller's connection that was answered last, and with what
	lastAnswer           []byte
}

var _ env.Env = (*Process)(nil)

func (w *World) newProcess(id, address string, seed uint64, route func(string) peer) *Process {
	return &Process{
		w: w, id: id, address: address, seed: seed, route: route, counts: map[string]int{}, dialsInProgress: map[string]int{},
		rng: rand.New(rand.NewPCG(seed, hashOf(id))),
	}
}

// nextKey names the next thing of a kind.
func (p *Process) nextKey(kind string) string {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	p.counts[kind]++
	return fmt.Sprintf("%s/%s/%d", p.id, kind, p.counts[kind])
}

// Now is env.Env's.
func (p *Process) Now() time.Time { return time.Now() }

// BootTime is env.Env's: machines are not suspended here.
func (p *Process) BootTime() time.Duration { return p.w.now() }

// Go is env.Env's: the goroutine begins when the scheduler says so.
func (p *Process) Go(name string, f func()) {
	key := p.nextKey(name)
	go func() {
		p.w.park(key, nil, nil)
		f()
	}()
}

// AfterFunc is env.Env's.
func (p *Process) AfterFunc(d time.Duration, f func()) {
	key := p.nextKey("after")
	p.w.scheduleAfter(key, d, func() {
		if !p.dead {
			go f()
		}
	})
}

// Sleep is env.Env's.
func (p *Process) Sleep(d time.Duration) {
	until := time.Now().Add(d)
	p.w.park(p.nextKey("sleep"), func(now time.Time) bool { return p.dead || !until.After(now) },
		func() time.Time { return until })
}

// RandomDuration is env.Env's.
func (p *Process) RandomDuration(d time.Duration) time.Duration {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	return time.Duration(p.rng.Int64N(int64(d)))
}

// timer fires as a step of the world.
type timer struct {
	p    *Process
	key  string
	c    chan time.Time
	next *event
}

// NewTimer is env.Env's.
func (p *Process) NewTimer(d time.Duration) env.Timer {
	t := &timer{p: p, key: p.nextKey("timer"), c: make(chan time.Time, 1)}
	t.Reset(d)
	return t
}

// C is env.Timer's.
func (t *timer) C() <-chan time.Time { return t.c }

// Stop is env.Timer's.
func (t *timer) Stop() {
	if t.next != nil {
		t.p.w.cancel(t.next)
		t.next = nil
	}
	select {
	case <-t.c:
	default:
	}
}

// Reset is env.Timer's.
func (t *timer) Reset(d time.Duration) {
	t.Stop()
	t.next = t.p.w.scheduleAfter(t.key, d, func() {
		if t.p.dead {
			return
		}
		select {
		case t.c <- time.Now():
		default:
		}
	})
}

// Listen is env.Env's.
func (p *Process) Listen(string) (net.Listener, error) {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	p.listener = &listener{proc: p}
	return p.listener, nil
}

// Dial is env.Env's.
func (p *Process) Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	id := p.nextKey("dial")
	deadline := time.Now().Add(timeout)
	other := p.route(address)
	c := p.w.newConn(p, id, other, p.seed)
	connected, refused := false, false
	target, isTarget := other.(dialTarget)
	delay := time.Duration(0)
	if isTarget {
		delay = target.connectDelay()
	}
	switch {
	case other == nil:
		p.w.scheduleAfter(id+"/rst", c.randomLatency(), func() { refused = true })
	case isTarget && target.unreachable():
	default:
		p.w.scheduleAfter(id+"/syn", c.randomLatency()+c.randomLatency()+delay, func() {
			connected = !c.closed
			refused = c.closed
			if connected {
				other.onOpen(c)
			}
		})
	}
	p.w.mu.Lock()
	p.dialsInProgress[address]++
	p.w.mu.Unlock()
	stop := context.AfterFunc(ctx, p.w.wakeScheduler)
	defer stop()
	p.w.park(id, func(now time.Time) bool {
		return connected || refused || p.dead || ctx.Err() != nil || !deadline.After(now)
	}, func() time.Time { return deadline })
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	p.dialsInProgress[address]--
	switch {
	case ctx.Err() != nil || p.dead || p.w.closed || !connected && !refused:
		c.closed = true
		if connected { // it came up as it was given up
			c.enqueue(&c.toPeer, segment{fin: true})
			c.scheduleDelivery()
		}
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		return nil, context.DeadlineExceeded
	case refused:
		return nil, errRefused
	}
	c.dialedAddress = address
	p.conns = append(p.conns, c)
	return c, nil
}

// resendUnanswered is the planted bug: what was written to a connection that broke goes out
// once more, on another, by itself.
func (p *Process) resendUnanswered(from *conn) {
	other := p.route(from.dialedAddress)
	if other == nil || len(from.unanswered) == 0 {
		return
	}
	c := p.w.newConn(p, from.id+"/again", other, p.seed)
	c.enqueue(&c.toPeer, segment{bytes: from.unanswered})
	p.w.events = append(p.w.events, &event{key: c.id + "/syn", at: time.Now().Add(c.randomLatency()), do: func() {
		other.onOpen(c)
		p.w.mu.Lock()
		c.scheduleDelivery()
		p.w.mu.Unlock()
	}})
}

// dialTarget is a peer whose machine may be cut off: connections do not come up then. They may also come up late.
type dialTarget interface {
	unreachable() bool
	connectDelay() time.Duration
}

// kill ends the process: its connections break, and whatever its goroutines still do
// has no effect.
func (p *Process) kill() {
	p.w.mu.Lock()
	p.dead = true
	broken := p.conns
	if p.listener != nil {
		broken = append(broken, p.listener.backlog...)
		p.listener.backlog = nil
	}
	for _, c := range broken {
		if !c.closed {
			c.toPeer = nil // what was not on the wire is gone with it
			c.enqueue(&c.toPeer, segment{rst: true})
			c.scheduleDelivery()
		}
	}
	p.w.mu.Unlock()
	p.w.wakeScheduler()
}
