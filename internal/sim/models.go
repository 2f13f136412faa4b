package sim

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"heathgap/decide"
	"heathgap/internal/lab/oracle"
	"heathgap/internal/lab/servermodel"
)

// The models act in the world's steps, one at a time: they need no locks, and whatever
// they do follows from what came and from the seed.

// receivedRequest is a message that has come whole.
type receivedRequest struct {
	method, path, class, id, key, query string
	firstByte, lastByte                 time.Duration
}

// requestParser gathers the bytes of a connection into requests.
type requestParser struct {
	buf   []byte
	first time.Duration // of the first byte that stands there
}

// parse takes bytes; the requests that are whole by now come back. An error means that
// what came is no request.
func (in *requestParser) parse(now time.Duration, b []byte) (complete []receivedRequest, err error) {
	if len(in.buf) == 0 {
		in.first = now
	}
	in.buf = append(in.buf, b...)
	for len(in.buf) > 0 {
		var m fasthttp.Request
		left := bytes.NewReader(in.buf)
		r := bufio.NewReaderSize(left, len(in.buf)+16)
		err := m.Read(r)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return complete, nil
		}
		if err != nil {
			return complete, err
		}
		in.buf = in.buf[len(in.buf)-left.Len()-r.Buffered():]
		path := string(m.URI().Path())
		q := receivedRequest{
			method: string(m.Header.Method()), path: path, query: string(m.URI().QueryString()),
			id: string(m.Header.Peek("X-Txn")), key: string(m.Header.Peek("Idempotency-Key")),
			firstByte: in.first, lastByte: now,
		}
		q.class, _, _ = strings.Cut(strings.TrimPrefix(path, "/"), "/")
		complete = append(complete, q)
		in.first = now
	}
	return complete, nil
}

// keyStore is what a group of endpoints knows of keys.
type keyStore struct {
	window time.Duration
	runs   map[string]*keyedRun
}

type keyedRun struct {
	started time.Duration
	done    bool
	waiters []func()
}

func (k *keyStore) lookupOrStart(now time.Duration, key string) (earlier, started *keyedRun) {
	if earlier = k.runs[key]; earlier != nil && now-earlier.started <= k.window {
		return earlier, nil
	}
	started = &keyedRun{started: now}
	k.runs[key] = started
	return nil, started
}

func (r *keyedRun) finish() {
	if r == nil || r.done {
		return
	}
	r.done = true
	for _, f := range r.waiters {
		f()
	}
	r.waiters = nil
}

// endpoint is one process of the tier.
type endpoint struct {
	s           *simulation
	name        string
	address     string
	server      *servermodel.Server
	parsers     map[*conn]*requestParser
	tasks       map[*conn]*task
	conns       []*conn
	serverEvent *event
	fault       FaultKind
	partitioned bool

	slowToConnect bool // beside whatever else troubles it

	dead         bool
	serverEvents int // of the next event of its own
}

// task is a request at work.
type task struct {
	servermodel.Job
	req     receivedRequest
	c       *conn // nil when its peer has gone
	keyed   *keyedRun
	running bool // it is at the station
}

func (e *endpoint) unreachable() bool { return e.partitioned }

// slowConnectDelay is how late connections come up, of those that do: within the connect time-out.
const slowConnectDelay = 250 * time.Millisecond

func (e *endpoint) connectDelay() time.Duration {
	if !e.slowToConnect {
		return 0
	}
	return slowConnectDelay
}

func (e *endpoint) onOpen(c *conn) {
	if e.dead {
		c.peerClose(true)
		return
	}
	e.conns = append(e.conns, c)
	e.parsers[c] = &requestParser{}
	if e.partitioned {
		c.setPartitioned(true)
	}
}

func (e *endpoint) onRefused(*conn) {}

func (e *endpoint) onData(c *conn, b []byte) {
	in := e.parsers[c]
	if e.dead || in == nil {
		return
	}
	requests, err := in.parse(e.s.now(), b)
	for _, q := range requests {
		e.handleRequest(c, q)
	}
	if err != nil {
		e.closeConn(c, true)
	}
}

// onClose is told when the sidecar has closed: what is safe is given up, an effect goes on.
func (e *endpoint) onClose(c *conn, _ bool) {
	if t := e.tasks[c]; t != nil {
		t.c = nil
		if t.running && e.s.classes[t.req.class].Effect == decide.Safe && e.server.Cancel(e.s.now(), &t.Job) {
			e.scheduleServer()
		}
	}
	e.closeConn(c, false)
}

func (e *endpoint) closeConn(c *conn, reset bool) {
	delete(e.parsers, c)
	delete(e.tasks, c)
	e.conns = slices.DeleteFunc(e.conns, func(o *conn) bool { return o == c })
	c.peerClose(reset)
}

const (
	refusedResponse = "HTTP/1.1 503 x\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"
	errorResponse   = "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n"
)

// handleRequest takes a request that has come whole.
func (e *endpoint) handleRequest(c *conn, q receivedRequest) {
	class, known := e.s.classes[q.class]
	e.s.arrived[q.id] = true
	arrived := func(runs, repeat bool) {
		e.s.checker.AttemptArrived(oracle.Arrival{ID: q.id, Endpoint: e.name, FirstByte: q.firstByte, LastByte: q.lastByte, Accepted: runs, Repeat: repeat})
	}
	if !known || e.fault == Refuse {
		arrived(false, false)
		c.peerWrite(refusedResponse)
		return
	}
	var earlier, started *keyedRun
	if class.Effect == decide.Keyed {
		earlier, started = e.s.keys.lookupOrStart(q.lastByte, q.key)
	}
	if e.fault == Errors {
		arrived(true, earlier != nil)
		started.finish()
		c.peerWrite(errorResponse)
		return
	}
	if earlier != nil {
		arrived(true, true)
		respond := func() { c.peerWrite(okResponse(q, e.name)) }
		if earlier.done {
			respond()
		} else {
			earlier.waiters = append(earlier.waiters, respond)
		}
		return
	}
	t := &task{req: q, c: c, keyed: started, running: true}
	t.Data = t
	t.Work = time.Duration(e.s.rngFor(e.name, q.id).ExpFloat64() * float64(e.s.meanWork))
	e.finishDueTasks()
	if e.server.Arrive(e.s.now(), &t.Job) == servermodel.Rejected {
		if started != nil {
			delete(e.s.keys.runs, q.key)
		}
		arrived(false, false)
		c.peerWrite(refusedResponse)
		return
	}
	arrived(true, false)
	e.tasks[c] = t
	e.scheduleServer()
}

func okResponse(q receivedRequest, name string) string {
	body := q.id + " " + name + "\n"
	return "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// finishDueTasks hands out what is done by now.
func (e *endpoint) finishDueTasks() {
	done, overloaded := e.server.Due(e.s.now())
	if overloaded {
		e.s.checker.EndpointOverloaded(e.s.now(), e.name)
	}
	for _, j := range done {
		t := j.Data.(*task)
		t.running = false
		t.keyed.finish()
		if t.c == nil {
			continue
		}
		delete(e.tasks, t.c)
		if overloaded {
			e.closeConn(t.c, true)
			continue
		}
		e.respond(t)
	}
}

// respond writes a task's answer, as the trouble has it.
func (e *endpoint) respond(t *task) {
	text := okResponse(t.req, e.name)
	switch e.fault {
	case Hang:
		return
	case Truncate:
		if e.s.rngFor(e.name, t.req.id, "open").IntN(2) == 0 { // only its connection's end would tell its end
			_, body, _ := strings.Cut(text, "\r\n\r\n")
			t.c.peerWrite("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body[:len(body)-3])
			e.closeConn(t.c, true)
			return
		}
		t.c.peerWrite(text[:len(text)-3])
		e.closeConn(t.c, e.s.rngFor(e.name, t.req.id, "half").IntN(2) == 0)
		return
	case Garbage:
		text = "what?\r\n\r\n"
	}
	t.c.peerWrite(text)
}

func (e *endpoint) scheduleServer() {
	if e.serverEvent != nil {
		e.s.w.cancel(e.serverEvent)
		e.serverEvent = nil
	}
	at, ok := e.server.Next()
	if !ok || e.dead {
		return
	}
	e.serverEvents++
	// Up to the network's grid: an answer may then leave, and come, in the same instant
	// as something else does.
	at = (at + minLatency - 1).Truncate(minLatency)
	e.serverEvent = e.s.w.schedule(fmt.Sprintf("%s/work/%d", e.name, e.serverEvents), e.s.w.start.Add(at), func() {
		e.serverEvent = nil
		e.finishDueTasks()
		e.scheduleServer()
	})
}

// kill ends the process; its keys stay with the group, as do effects.
func (e *endpoint) kill() {
	e.dead = true
	for _, j := range e.server.Clear() {
		j.Data.(*task).keyed.finish()
	}
	for _, c := range slices.Clone(e.conns) {
		e.closeConn(c, true)
	}
	e.scheduleServer()
}

func (e *endpoint) setPaused(paused bool) {
	e.finishDueTasks()
	e.server.Pause(e.s.now(), paused)
	e.scheduleServer()
}

// setPartitioned cuts the endpoint's machine off, or brings it back: its old connections are
// reset then.
func (e *endpoint) setPartitioned(partitioned bool) {
	e.partitioned = partitioned
	for _, c := range slices.Clone(e.conns) {
		c.setPartitioned(partitioned)
		if !partitioned {
			e.closeConn(c, true)
		}
	}
}

// listEntry is a line of the list, as discovery writes it.
type listEntry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	Since   int64   `json:"since_ms"`
}

// discovery tells the list.
type discovery struct {
	s         *simulation
	index     int64
	names     []string
	entries   map[string]listEntry
	changedAt map[string]int64
	down      bool
	parsers   map[*conn]*requestParser
	watchers  []*watcher
}

type watcher struct {
	c       *conn
	after   int64
	timeout *event
}

func newDiscovery(s *simulation) *discovery {
	return &discovery{s: s, entries: map[string]listEntry{}, changedAt: map[string]int64{}, parsers: map[*conn]*requestParser{}}
}

func (d *discovery) publish(l listEntry) {
	d.index++
	if _, known := d.entries[l.Name]; !known {
		d.names = append(d.names, l.Name)
	}
	d.entries[l.Name], d.changedAt[l.Name] = l, d.index
	d.s.checker.ListPublished(d.s.now(), d.index, l.Name, l.Status == "SERVING")
	if l.Status != "SERVING" {
		for _, sc := range d.s.sidecars {
			if sc.proc.dialsInProgress[l.Address] > 0 {
				d.s.w.rareEvents[DrainDuringDial]++
			}
		}
	}
	waiting := d.watchers
	d.watchers = nil
	for _, w := range waiting {
		d.s.w.cancel(w.timeout)
		d.respond(w.c, w.after)
	}
}

func (d *discovery) changesSince(after int64) map[string]any {
	lines := []listEntry{}
	for _, name := range d.names {
		l := d.entries[name]
		if after == 0 && l.Status == "DELETED" || after > 0 && d.changedAt[name] <= after {
			continue
		}
		lines = append(lines, l)
	}
	return map[string]any{"index": d.index, "snapshot": after == 0, "endpoints": lines}
}

// respond answers a call with what is newer, and books what it told.
func (d *discovery) respond(c *conn, after int64) {
	text, err := json.Marshal(d.changesSince(after))
	if err != nil {
		panic(err) // it holds nothing that can't be written
	}
	c.peerWrite("HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n" + string(text))
	d.s.checker.ListDelivered(d.s.now()+maxLatency*2, c.proc.sidecarName(), d.index)
	d.s.checker.ListCallEnded(d.s.now(), c.proc.sidecarName())
}

func (d *discovery) setDown(down bool) {
	d.down = down
	d.s.checker.SetDiscoveryUp(d.s.now(), !down)
	if !down {
		return
	}
	waiting := d.watchers
	d.watchers = nil
	for _, w := range waiting {
		d.s.w.cancel(w.timeout)
		d.s.checker.ListCallEnded(d.s.now(), w.c.proc.sidecarName())
		w.c.peerClose(true)
		delete(d.parsers, w.c)
	}
}

func (d *discovery) onOpen(c *conn) {
	if d.down {
		c.peerClose(true)
		return
	}
	d.parsers[c] = &requestParser{}
}

func (d *discovery) onRefused(*conn) {}

func (d *discovery) onClose(c *conn, _ bool) {
	delete(d.parsers, c)
	d.watchers = slices.DeleteFunc(d.watchers, func(w *watcher) bool {
		if w.c == c {
			d.s.w.cancel(w.timeout)
			d.s.checker.ListCallEnded(d.s.now(), c.proc.sidecarName())
		}
		return w.c == c
	})
	c.peerClose(false)
}

func (d *discovery) onData(c *conn, b []byte) {
	in := d.parsers[c]
	if in == nil {
		return
	}
	requests, _ := in.parse(d.s.now(), b)
	for _, q := range requests {
		d.s.checker.ListCallBegun(c.proc.sidecarName())
		d.handleCall(c, q)
	}
}

func (d *discovery) handleCall(c *conn, q receivedRequest) {
	if d.down {
		c.peerWrite("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")
		d.s.checker.ListCallEnded(d.s.now(), c.proc.sidecarName())
		return
	}
	var after, ms int64
	fmt.Sscanf(q.query, "after=%d&wait_ms=%d", &after, &ms) //nolint:errcheck // the whole list has neither
	if after == 0 || d.index > after {
		d.respond(c, after)
		return
	}
	d.s.checker.WatchAccepted(c.proc.sidecarName(), d.s.now()+time.Duration(ms)*time.Millisecond)
	w := &watcher{c: c, after: after}
	w.timeout = d.s.w.scheduleAfter(c.id+"/watch", time.Duration(ms)*time.Millisecond, func() {
		d.watchers = slices.DeleteFunc(d.watchers, func(o *watcher) bool { return o == w })
		d.respond(c, after)
	})
	d.watchers = append(d.watchers, w)
}

// client is one caller's connection; it asks one thing at a time.
type client struct {
	s        *simulation
	c        *conn
	pending  *Request // what is out; nil while idle
	sentAt   time.Duration
	buf      []byte
	answered int
	closed   bool // the sidecar has ended it, or it is no use any more
	timeout  *event
}

func (k *client) onOpen(c *conn) {
	if !k.closed {
		k.write()
	}
}

// onRefused is told when no connection came up: nothing was asked.
func (k *client) onRefused(*conn) {
	k.closed = true
	k.s.notConnected++
	k.s.settled++
	k.pending = nil
}

// write sends what the client asks.
func (k *client) write() {
	a := k.pending
	class := k.s.classes[a.Class]
	k.sentAt = k.s.now()
	until := k.sentAt + class.Deadline
	k.s.checker.RequestBegun(oracle.Request{ID: a.ID, Sidecar: k.c.proc.sidecarName(), Effect: class.Effect, Key: a.Key, Deadline: until + maxLatency*2})
	k.s.checker.RequestWritten(a.ID)
	k.s.unanswered[k] = true
	method, headers := "GET", ""
	if class.Effect != decide.Safe {
		method, headers = "POST", "Content-Length: 4\r\n"
	}
	if a.Key != "" {
		headers += "Idempotency-Key: " + a.Key + "\r\n"
	}
	body := ""
	if method == "POST" {
		body = "body"
	}
	k.c.peerWrite(fmt.Sprintf("%s /%s/x HTTP/1.1\r\nHost: sim\r\nX-Txn: %s\r\nX-Remaining: %.6f\r\n%s\r\n%s",
		method, a.Class, a.ID, class.Deadline.Seconds(), headers, body))
	wait := class.Deadline + k.s.clientMargin()
	if a.Leave > 0 {
		wait = a.Leave
	}
	k.timeout = k.s.w.scheduleAfter(k.c.id+"/limit/"+a.ID, wait, func() { k.onTimeout(a.Leave > 0) })
}

func (k *client) onTimeout(leaves bool) {
	if leaves {
		k.s.checker.ClientLeft(k.s.now(), k.pending.ID)
	} else {
		k.s.checker.Unanswered(k.s.now(), k.pending.ID)
	}
	k.finish(true)
}

// finish ends what is out, and the connection.
func (k *client) finish(reset bool) {
	k.s.w.cancel(k.timeout)
	k.pending, k.closed = nil, true
	delete(k.s.unanswered, k)
	k.s.settled++
	k.c.peerClose(reset)
}

func (k *client) onClose(c *conn, _ bool) {
	if k.closed {
		return
	}
	k.closed = true
	if k.pending == nil {
		c.peerClose(false)
		return
	}
	if k.timeout == nil { // it broke before anything was written
		k.onRefused(c)
		c.peerClose(false)
		return
	}
	a := k.pending
	switch {
	case c.proc.dead:
		k.s.checker.RequestInterrupted(k.s.now(), a.ID)
	case k.answered > 0 && len(k.buf) == 0 && k.s.checker.RetractRequest(a.ID):
		// It ended as the request crossed that: once more, on a new connection.
		k.s.w.cancel(k.timeout)
		k.pending = nil
		delete(k.s.unanswered, k)
		c.peerClose(false)
		k.s.sendOnNewConn(a)
		return
	default:
		k.s.checker.Unanswered(k.s.now(), a.ID)
	}
	k.finish(false)
}

func (k *client) onData(_ *conn, b []byte) {
	if k.closed {
		return
	}
	if k.pending == nil {
		k.s.checker.ExtraBytes(k.s.now(), k.c.id)
		k.closed = true
		k.c.peerClose(true)
		return
	}
	k.buf = append(k.buf, b...)
	var m fasthttp.Response
	left := bytes.NewReader(k.buf)
	r := bufio.NewReaderSize(left, len(k.buf)+16)
	if err := m.Read(r); err != nil {
		return // not whole yet; if never, its time will tell
	}
	k.buf = k.buf[len(k.buf)-left.Len()-r.Buffered():]
	k.handleResponse(&m)
}

func (k *client) handleResponse(m *fasthttp.Response) {
	a, now := k.pending, k.s.now()
	k.s.w.cancel(k.timeout)
	verdict := oracle.Failed
	switch m.StatusCode() {
	case fasthttp.StatusOK:
		verdict = oracle.Served
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		verdict = oracle.Refused
	}
	if body := string(m.Body()); verdict == oracle.Served && !(strings.HasPrefix(body, a.ID+" ") && strings.HasSuffix(body, "\n")) {
		k.s.checker.ForeignAnswer(now, a.ID)
	} else {
		k.s.checker.AnswerReceived(now, a.ID, verdict)
	}
	if len(k.buf) > 0 {
		k.s.checker.ExtraBytes(now, a.ID)
	}
	k.s.verdicts[verdict]++
	delete(k.s.unanswered, k)
	k.s.settled++
	k.answered++
	k.pending = nil
	if m.ConnectionClose() || a.Close {
		k.closed = true
		k.c.peerClose(false)
		return
	}
	k.s.idleClients = append(k.s.idleClients, k)
}
