package sim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"heathgap/internal/env"
)

// Proc is one start of a sidecar's process: the env.Env that its code runs on.
type Proc struct {
	w       *World
	id      string // name and start
	address string
	seed    uint64
	route   func(address string) peer // who listens at an address; nil for nobody
	dice    *rand.Rand

	dead     bool
	listener *listener
	conns    []*conn
	counts   map[string]int // of goroutines, dials and timers, by what for
	dialing  map[string]int // dials under way, by address

	// Bugs that tests plant into the process's connections.
	resend         bool  // a used connection that breaks has its message sent again
	doubleOnCancel bool  // a connection that is given up has the newest answer written again
	newest         *conn // the caller's connection that was answered last, and with what
	newestText     []byte
}

var _ env.Env = (*Proc)(nil)

func (w *World) newProc(id, address string, seed uint64, route func(string) peer) *Proc {
	return &Proc{
		w: w, id: id, address: address, seed: seed, route: route, counts: map[string]int{}, dialing: map[string]int{},
		dice: rand.New(rand.NewPCG(seed, hashOf(id))),
	}
}

// number names the next thing of a kind.
func (p *Proc) number(kind string) string {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	p.counts[kind]++
	return fmt.Sprintf("%s/%s/%d", p.id, kind, p.counts[kind])
}

// Now is env.Env's.
func (p *Proc) Now() time.Time { return time.Now() }

// BootTime is env.Env's: machines are not suspended here.
func (p *Proc) BootTime() time.Duration { return p.w.now() }

// Go is env.Env's: the goroutine begins when the scheduler says so.
func (p *Proc) Go(name string, f func()) {
	key := p.number(name)
	go func() {
		p.w.park(key, nil, nil)
		f()
	}()
}

// AfterFunc is env.Env's.
func (p *Proc) AfterFunc(d time.Duration, f func()) {
	key := p.number("after")
	p.w.after(key, d, func() {
		if !p.dead {
			go f()
		}
	})
}

// Sleep is env.Env's.
func (p *Proc) Sleep(d time.Duration) {
	until := time.Now().Add(d)
	p.w.park(p.number("sleep"), func(now time.Time) bool { return p.dead || !until.After(now) },
		func() time.Time { return until })
}

// RandomDuration is env.Env's.
func (p *Proc) RandomDuration(d time.Duration) time.Duration {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	return time.Duration(p.dice.Int64N(int64(d)))
}

// timer fires as a step of the world.
type timer struct {
	p    *Proc
	key  string
	c    chan time.Time
	next *event
}

// NewTimer is env.Env's.
func (p *Proc) NewTimer(d time.Duration) env.Timer {
	t := &timer{p: p, key: p.number("timer"), c: make(chan time.Time, 1)}
	t.Reset(d)
	return t
}

// C is env.Timer's.
func (t *timer) C() <-chan time.Time { return t.c }

// Stop is env.Timer's.
func (t *timer) Stop() {
	if t.next != nil {
		t.p.w.off(t.next)
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
	t.next = t.p.w.after(t.key, d, func() {
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
func (p *Proc) Listen(string) (net.Listener, error) {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	p.listener = &listener{proc: p}
	return p.listener, nil
}

// Dial is env.Env's.
func (p *Proc) Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	id := p.number("dial")
	limit := time.Now().Add(timeout)
	other := p.route(address)
	c := p.w.newConn(p, id, other, p.seed)
	up, down := false, false
	d, told := other.(dialed)
	late := time.Duration(0)
	if told {
		late = d.late()
	}
	switch {
	case other == nil:
		p.w.after(id+"/rst", c.latency(), func() { down = true })
	case told && d.silent():
	default:
		p.w.after(id+"/syn", c.latency()+c.latency()+late, func() {
			up = !c.closed
			down = c.closed
			if up {
				other.opened(c)
			}
		})
	}
	p.w.mu.Lock()
	p.dialing[address]++
	p.w.mu.Unlock()
	stop := context.AfterFunc(ctx, p.w.poke)
	defer stop()
	p.w.park(id, func(now time.Time) bool {
		return up || down || p.dead || ctx.Err() != nil || !limit.After(now)
	}, func() time.Time { return limit })
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	p.dialing[address]--
	switch {
	case ctx.Err() != nil || p.dead || p.w.closed || !up && !down:
		c.closed = true
		if up { // it came up as it was given up
			c.post(&c.toPeer, segment{fin: true})
			c.arm()
		}
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		return nil, context.DeadlineExceeded
	case down:
		return nil, errRefused
	}
	c.dialed = address
	p.conns = append(p.conns, c)
	return c, nil
}

// sendAgain is the planted bug: what was written to a connection that broke goes out
// once more, on another, by itself.
func (p *Proc) sendAgain(from *conn) {
	other := p.route(from.dialed)
	if other == nil || len(from.written) == 0 {
		return
	}
	c := p.w.newConn(p, from.id+"/again", other, p.seed)
	c.post(&c.toPeer, segment{bytes: from.written})
	p.w.events = append(p.w.events, &event{key: c.id + "/syn", at: time.Now().Add(c.latency()), do: func() {
		other.opened(c)
		p.w.mu.Lock()
		c.arm()
		p.w.mu.Unlock()
	}})
}

// dialed is a peer whose machine may be cut off: connections do not come up then. They may also come up late.
type dialed interface {
	silent() bool
	late() time.Duration
}

// kill ends the process: its connections break, and whatever its goroutines still do
// has no effect.
func (p *Proc) kill() {
	p.w.mu.Lock()
	p.dead = true
	broken := p.conns
	if p.listener != nil {
		broken = append(broken, p.listener.queue...)
		p.listener.queue = nil
	}
	for _, c := range broken {
		if !c.closed {
			c.toPeer = nil // what was not on the wire is gone with it
			c.post(&c.toPeer, segment{rst: true})
			c.arm()
		}
	}
	p.w.mu.Unlock()
	p.w.poke()
}
