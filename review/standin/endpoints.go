package main

import (
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

// group is the endpoints of one group: they share the memory of keyed requests, and so drop a repeat of one another.
type group struct {
	window time.Duration // how long a repeat is dropped, counted from the end of the work; 0 for not at all
	work   time.Duration
	factor float64 // by which all are slower while there is trouble
	resets bool    // while there is trouble, the connection is reset when the work is done
	room   int     // requests that may wait at an endpoint behind the one that runs
	long   int     // bytes of an answer while there is trouble; 0 for short ones always

	mu      sync.Mutex
	trouble bool
	keys    map[string]*keyed
}

// keyed is a keyed request that an endpoint has begun.
type keyed struct {
	count int           // how often its effect has happened
	reply string        // of the last time
	until time.Time     // until then a repeat is dropped
	done  chan struct{} // closed when its work is done
}

// endpoint is one of a group: one core and a short queue. Whatever comes while the queue is full is turned away before anything else is
// looked at, repeats too.
type endpoint struct {
	*group
	name string
	core chan struct{} // holds one element while a request runs
	held chan struct{} // holds one element for each request that runs or waits
}

// endpoints plays a group of endpoints. SIGUSR1 begins the trouble and SIGUSR2 ends it. It prints a line an event.
func endpoints(args []string) error {
	flags := flag.NewFlagSet("endpoints", flag.ContinueOnError)
	list := flags.String("listen", "", "NAME=ADDRESS,...")
	g := &group{keys: map[string]*keyed{}}
	flags.DurationVar(&g.window, "window", 5*time.Second, "how long a repeat is dropped")
	flags.DurationVar(&g.work, "work", 400*time.Millisecond, "work of a request")
	flags.Float64Var(&g.factor, "factor", 1, "by which all are slower in trouble")
	flags.BoolVar(&g.resets, "resets", false, "in trouble, answers get lost: the connection is reset when the work is done")
	flags.IntVar(&g.room, "room", 1, "requests that may wait at an endpoint")
	flags.IntVar(&g.long, "long", 0, "bytes of an answer in trouble")
	if err := flags.Parse(args); err != nil {
		return err
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGUSR2)
	for entry := range strings.SplitSeq(*list, ",") {
		name, address, _ := strings.Cut(entry, "=")
		e := &endpoint{group: g, name: name, core: make(chan struct{}, 1), held: make(chan struct{}, 1+g.room)}
		l, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: e, IdleTimeout: 10 * time.Second}
		go server.Serve(l)
	}
	for s := range signals {
		g.mu.Lock()
		g.trouble = s == syscall.SIGUSR1
		g.mu.Unlock()
		logf("endpoints: trouble %v", s == syscall.SIGUSR1)
	}
	return nil
}

// logf prints a line with the time of day.
func logf(format string, args ...any) {
	fmt.Printf("%s %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

func (g *group) inTrouble() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.trouble
}

// turnAway answers a request that has not run and never will.
func (e *endpoint) turnAway(w http.ResponseWriter, q *http.Request, why string) {
	logf("%s: turned away key=%s txn=%s: %s", e.name, q.Header.Get("Idempotency-Key"), q.Header.Get("X-Txn"), why)
	w.Header().Set("X-Turned-Away", "1")
	http.Error(w, why, http.StatusServiceUnavailable)
}

// ServeHTTP implements http.Handler.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return // its last byte has not come
	}
	key, txn := q.Header.Get("Idempotency-Key"), q.Header.Get("X-Txn")
	if txn == "" {
		http.NotFound(w, q)
		return
	}
	select {
	case e.held <- struct{}{}:
	default:
		e.turnAway(w, q, "queue full")
		return
	}
	k, repeat := e.accept(key)
	if repeat {
		<-e.held // it waits for the work of the first one and takes no place
		select {
		case <-k.done:
			logf("%s: dropped as a repeat key=%s txn=%s", e.name, key, txn)
			e.answer(w, k, key, txn)
		case <-q.Context().Done():
			logf("%s: dropped as a repeat key=%s txn=%s, given up", e.name, key, txn)
		}
		return
	}
	e.core <- struct{}{} // work that waits is kept, and work that runs goes on, whoever waits for it
	e.run(k, key, txn)
	<-e.core
	<-e.held
	e.answer(w, k, key, txn)
}

// answer answers a request whose work is done.
func (e *endpoint) answer(w http.ResponseWriter, k *keyed, key, txn string) {
	if e.resets && e.inTrouble() {
		logf("%s: answer lost, connection reset key=%s txn=%s", e.name, key, txn)
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			conn.(*net.TCPConn).SetLinger(0) //nolint:errcheck // the close follows
			conn.Close()
		}
		return
	}
	io.WriteString(w, k.reply) //nolint:errcheck // nobody may wait any more
}

// accept takes a request in. It reports whether the request is a repeat, which is dropped: the group has the key in work, or its work
// ended less than the window ago.
func (g *group) accept(key string) (k *keyed, repeat bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.keys[key]
	if key != "" && g.window > 0 && before != nil && (before.until.IsZero() || time.Now().Before(before.until)) {
		return before, true
	}
	k = &keyed{count: 1, done: make(chan struct{})}
	if before != nil {
		k.count = before.count + 1
	}
	if key != "" {
		g.keys[key] = k
	}
	return k, false
}

// run does the work of a request.
func (e *endpoint) run(k *keyed, key, txn string) {
	e.mu.Lock()
	work := e.work
	k.reply = fmt.Sprintf("effect %d of %s", k.count, key)
	if e.trouble {
		work = time.Duration(float64(work) * e.factor)
		k.reply += strings.Repeat(".", max(0, e.long-len(k.reply)))
	}
	e.mu.Unlock()
	logf("%s: RAN key=%s txn=%s effect=%d", e.name, key, txn, k.count)
	time.Sleep(work)
	e.mu.Lock()
	k.until = time.Now().Add(e.window)
	e.mu.Unlock()
	close(k.done)
}
