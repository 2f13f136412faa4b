package sim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"heathgap/internal/env"
)

// Process is one started process of a sidecar. It is the env.Env on which the sidecar's code runs.
type Process struct {
	w       *World
	id      string // the sidecar's name and the number of the start, as in s0.1
	address string
	seed    uint64
	route   func(address string) peer // returns the peer that listens at an address; nil for none
	rng     *rand.Rand

	dead            bool
	listener        *listener
	conns           []*conn
	counts          map[string]int // numbers given by nextKey, by kind
	dialsInProgress map[string]int // by address

	// Bugs that tests inject into the process's connections.
	resendOnReset        bool  // when a connection that the process dialed is reset, its unanswered message is sent again
	repeatAnswerOnCancel bool  // when the process closes a dialed connection that its peer has not ended, the bytes written last to a caller are written again
	lastAnsweredConn     *conn // the connection of a caller that was written to last, with the bytes of that write
	lastAnswer           []byte
}

var _ env.Env = (*Process)(nil)

// newProcess returns a process in which nothing runs yet.
func (w *World) newProcess(id, address string, seed uint64, route func(string) peer) *Process {
	return &Process{
		w: w, id: id, address: address, seed: seed, route: route, counts: map[string]int{}, dialsInProgress: map[string]int{},
		rng: rand.New(rand.NewPCG(seed, hashOf(id))),
	}
}

// nextKey returns a key for the next goroutine, dial, timer or the like of the process.
func (p *Process) nextKey(kind string) string {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	p.counts[kind]++
	return fmt.Sprintf("%s/%s/%d", p.id, kind, p.counts[kind])
}

// Now implements env.Env.
func (p *Process) Now() time.Time { return time.Now() }

// BootTime implements env.Env. Simulated machines are never suspended.
func (p *Process) BootTime() time.Duration { return p.w.now() }

// Go implements env.Env. The goroutine starts when the scheduler releases it.
func (p *Process) Go(name string, f func()) {
	key := p.nextKey(name)
	go func() {
		p.w.park(key, nil, nil)
		f()
	}()
}

// AfterFunc implements env.Env.
func (p *Process) AfterFunc(d time.Duration, f func()) {
	key := p.nextKey("after")
	p.w.scheduleAfter(key, d, func() {
		if !p.dead {
			go f()
		}
	})
}

// Sleep implements env.Env.
func (p *Process) Sleep(d time.Duration) {
	until := time.Now().Add(d)
	p.w.park(p.nextKey("sleep"), func(now time.Time) bool { return p.dead || !until.After(now) },
		func() time.Time { return until })
}

// RandomDuration implements env.Env.
func (p *Process) RandomDuration(d time.Duration) time.Duration {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	return time.Duration(p.rng.Int64N(int64(d)))
}

// timer implements env.Timer; it fires in a step of the world.
type timer struct {
	p    *Process
	key  string
	c    chan time.Time
	next *event
}

// NewTimer implements env.Env.
func (p *Process) NewTimer(d time.Duration) env.Timer {
	t := &timer{p: p, key: p.nextKey("timer"), c: make(chan time.Time, 1)}
	t.Reset(d)
	return t
}

// C implements env.Timer.
func (t *timer) C() <-chan time.Time { return t.c }

// Stop implements env.Timer.
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

// Reset implements env.Timer.
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

// Listen implements env.Env. A process has one listener; the address is ignored.
func (p *Process) Listen(string) (net.Listener, error) {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	p.listener = &listener{proc: p}
	return p.listener, nil
}

// Dial implements env.Env. Where nothing listens it fails with errRefused after one latency; where the
// target is unreachable it fails at the timeout.
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
		if connected { // it was established at the instant in which the caller gave up
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

// resendUnanswered implements the injected bug resendOnReset: after a reset of a connection,
// it sends the unanswered message again, on a new connection, without a decision by package decide. The
// caller holds w.mu.
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

// dialTarget is a peer whose machine may be unreachable, so that dials to it time out, or slow to establish connections.
type dialTarget interface {
	unreachable() bool
	connectDelay() time.Duration
}

// kill ends the process: its connections are reset, and what its goroutines still do has no effect.
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
			c.toPeer = nil // segments that were not delivered yet are lost
			c.enqueue(&c.toPeer, segment{rst: true})
			c.scheduleDelivery()
		}
	}
	p.w.mu.Unlock()
	p.w.wakeScheduler()
}
