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

// The models of endpoints, discovery and clients act in steps of the world, one at a time. So they need
// no locks, and what they do follows from the bytes they receive and from the seed.

// receivedRequest is a request that arrived completely.
type receivedRequest struct {
	method, path, class, id, key, query string
	firstByte, lastByte                 time.Duration // times at which its first and its last byte arrived
}

// requestParser splits the bytes of a connection into requests.
type requestParser struct {
	buf   []byte
	first time.Duration // when the first byte in buf arrived
}

// parse adds bytes and returns the requests that are complete now. An error means that the bytes are
// not an HTTP request.
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

// keyStore is the memory of idempotency keys that all endpoints share.
type keyStore struct {
	window time.Duration
	runs   map[string]*keyedRun
}

// keyedRun is the execution of a request under a key. waiters answer repeats that arrive before it is done.
type keyedRun struct {
	started time.Duration
	done    bool
	waiters []func()
}

// lookupOrStart returns the earlier run under a key, if it started within the window, or else starts a new one.
func (k *keyStore) lookupOrStart(now time.Duration, key string) (earlier, started *keyedRun) {
	if earlier = k.runs[key]; earlier != nil && now-earlier.started <= k.window {
		return earlier, nil
	}
	started = &keyedRun{started: now}
	k.runs[key] = started
	return nil, started
}

// finish marks a run as done and answers the repeats that wait for it. r may be nil.
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

// endpoint is one process of an endpoint.
type endpoint struct {
	s           *simulation
	name        string
	address     string
	server      *servermodel.Server
	parsers     map[*conn]*requestParser
	tasks       map[*conn]*task // requests in progress, by connection
	conns       []*conn
	serverEvent *event    // the next event of server
	fault       FaultKind // empty for none
	partitioned bool

	slowToConnect bool // independent of fault

	dead         bool
	serverEvents int // numbers the events of server in their keys
}

// task is a request in progress.
type task struct {
	servermodel.Job
	req     receivedRequest
	c       *conn     // nil when the connection has ended
	keyed   *keyedRun // nil without an idempotency key
	running bool      // it is still at the server model
}

// unreachable reports whether dials to the endpoint must time out.
func (e *endpoint) unreachable() bool { return e.partitioned }

// slowConnectDelay is added to the dials that SlowConnect delays. It is below the connect timeout of
// 300 ms, so that they succeed.
const slowConnectDelay = 250 * time.Millisecond

// connectDelay returns how much later than usual connections are established.
func (e *endpoint) connectDelay() time.Duration {
	if !e.slowToConnect {
		return 0
	}
	return slowConnectDelay
}

// onOpen implements peer.
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

// onRefused implements peer; endpoints open no connections.
func (e *endpoint) onRefused(*conn) {}

// onData implements peer.
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

// onClose implements peer. A request in progress is canceled if it is safe; one with an effect goes on.
func (e *endpoint) onClose(c *conn, _ bool) {
	if t := e.tasks[c]; t != nil {
		t.c = nil
		if t.running && e.s.classes[t.req.class].Effect == decide.Safe && e.server.Cancel(e.s.now(), &t.Job) {
			e.scheduleServer()
		}
	}
	e.closeConn(c, false)
}

// closeConn ends a connection and forgets it.
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

// handleRequest starts work on a complete request, or answers it at once.
func (e *endpoint) handleRequest(c *conn, q receivedRequest) {
	class, known := e.s.classes[q.class]
	e.s.arrived[q.id] = true
	recordArrival := func(runs, repeat bool) {
		e.s.checker.AttemptArrived(oracle.Arrival{ID: q.id, Endpoint: e.name, FirstByte: q.firstByte, LastByte: q.lastByte, Accepted: runs, Repeat: repeat})
	}
	if !known || e.fault == Refuse {
		recordArrival(false, false)
		c.peerWrite(refusedResponse)
		return
	}
	var earlier, started *keyedRun
	if class.Effect == decide.Keyed {
		earlier, started = e.s.keys.lookupOrStart(q.lastByte, q.key)
	}
	if e.fault == Errors {
		recordArrival(true, earlier != nil)
		started.finish()
		c.peerWrite(errorResponse)
		return
	}
	if earlier != nil {
		recordArrival(true, true)
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
		recordArrival(false, false)
		c.peerWrite(refusedResponse)
		return
	}
	recordArrival(true, false)
	e.tasks[c] = t
	e.scheduleServer()
}

// okResponse returns the answer to a request that was served; its body names the request and the endpoint.
func okResponse(q receivedRequest, name string) string {
	body := q.id + " " + name + "\n"
	return "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// finishDueTasks answers the requests that are done by now.
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

// respond writes a task's answer, changed by the endpoint's fault.
func (e *endpoint) respond(t *task) {
	text := okResponse(t.req, e.name)
	switch e.fault {
	case Hang:
		return
	case Truncate:
		if e.s.rngFor(e.name, t.req.id, "open").IntN(2) == 0 { // without a length: a client could tell the end only by the end of the connection
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

// scheduleServer schedules the next event of the server model, in place of the one scheduled before.
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
	// Round up to the network's grid, so that an answer may be sent, and may arrive, at the same instant as
	// another event.
	at = (at + minLatency - 1).Truncate(minLatency)
	e.serverEvent = e.s.w.schedule(fmt.Sprintf("%s/work/%d", e.name, e.serverEvents), e.s.w.start.Add(at), func() {
		e.serverEvent = nil
		e.finishDueTasks()
		e.scheduleServer()
	})
}

// kill ends the process. Its keys stay known to the other endpoints, and effects stay.
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

// setPaused stops work on all requests, or lets it go on.
func (e *endpoint) setPaused(paused bool) {
	e.finishDueTasks()
	e.server.Pause(e.s.now(), paused)
	e.scheduleServer()
}

// setPartitioned makes the endpoint's machine unreachable, or reachable again. Its old connections are
// reset when it is reachable again.
func (e *endpoint) setPartitioned(partitioned bool) {
	e.partitioned = partitioned
	for _, c := range slices.Clone(e.conns) {
		c.setPartitioned(partitioned)
		if !partitioned {
			e.closeConn(c, true)
		}
	}
}

// listEntry is an entry of discovery's list, as written in its answers.
type listEntry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	Since   int64   `json:"since_ms"`
}

// discovery is the model of the service that tells sidecars the list of endpoints.
type discovery struct {
	s         *simulation
	index     int64    // of the newest change
	names     []string // in the order of their first appearance
	entries   map[string]listEntry
	changedAt map[string]int64 // index of the last change, by name
	down      bool
	parsers   map[*conn]*requestParser
	watchers  []*watcher
}

// watcher is an open call for changes after an index.
type watcher struct {
	c       *conn
	after   int64
	timeout *event
}

func newDiscovery(s *simulation) *discovery {
	return &discovery{s: s, entries: map[string]listEntry{}, changedAt: map[string]int64{}, parsers: map[*conn]*requestParser{}}
}

// publish changes an entry of the list and answers all open watches.
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

// changesSince returns the answer to a call: the full list for 0, or else the entries that changed after an index.
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

// respond answers a call and records what was delivered.
func (d *discovery) respond(c *conn, after int64) {
	text, err := json.Marshal(d.changesSince(after))
	if err != nil {
		panic(err) // all its values can be encoded
	}
	c.peerWrite("HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n" + string(text))
	d.s.checker.ListDelivered(d.s.now()+maxLatency*2, c.proc.sidecarName(), d.index)
	d.s.checker.ListCallEnded(d.s.now(), c.proc.sidecarName())
}

// setDown makes discovery fail, or work again. When it fails, open watches are reset.
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

// onOpen implements peer.
func (d *discovery) onOpen(c *conn) {
	if d.down {
		c.peerClose(true)
		return
	}
	d.parsers[c] = &requestParser{}
}

// onRefused implements peer; discovery opens no connections.
func (d *discovery) onRefused(*conn) {}

// onClose implements peer.
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

// onData implements peer.
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

// handleCall answers a call at once, or keeps it open as a watch while there is no newer change.
func (d *discovery) handleCall(c *conn, q receivedRequest) {
	if d.down {
		c.peerWrite("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")
		d.s.checker.ListCallEnded(d.s.now(), c.proc.sidecarName())
		return
	}
	var after, ms int64
	fmt.Sscanf(q.query, "after=%d&wait_ms=%d", &after, &ms) //nolint:errcheck // a call for the full list has neither
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

// client is one connection of a caller, with at most one request at a time.
type client struct {
	s        *simulation
	c        *conn
	pending  *Request // the request without an outcome; nil while idle
	sentAt   time.Duration
	buf      []byte
	answered int    // requests answered on the connection
	closed   bool   // the connection has ended, or must not be used again
	timeout  *event // when the client gives up; nil until the first request is written
}

// onOpen implements peer.
func (k *client) onOpen(c *conn) {
	if !k.closed {
		k.write()
	}
}

// onRefused implements peer. The request counts as settled, though it was not sent.
func (k *client) onRefused(*conn) {
	k.closed = true
	k.s.notConnected++
	k.s.settled++
	k.pending = nil
}

// write sends the pending request.
func (k *client) write() {
	a := k.pending
	class := k.s.classes[a.Class]
	k.sentAt = k.s.now()
	until := k.sentAt + class.Deadline
	// The sidecar's deadline counts from the arrival of the request (pipeline/takein.go), at most two latencies from now: the second
	// part of a split message takes one more (conn.enqueue).
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

// onTimeout records that the client gave up: because its script says so, or since no answer came in time.
func (k *client) onTimeout(leaves bool) {
	if leaves {
		k.s.checker.ClientLeft(k.s.now(), k.pending.ID)
	} else {
		k.s.checker.Unanswered(k.s.now(), k.pending.ID)
	}
	k.finish(true)
}

// finish settles the pending request and closes the connection.
func (k *client) finish(reset bool) {
	k.s.w.cancel(k.timeout)
	k.pending, k.closed = nil, true
	delete(k.s.unanswered, k)
	k.s.settled++
	k.c.peerClose(reset)
}

// onClose implements peer.
func (k *client) onClose(c *conn, _ bool) {
	if k.closed {
		return
	}
	k.closed = true
	if k.pending == nil {
		c.peerClose(false)
		return
	}
	if k.timeout == nil { // the connection ended before the request was written
		k.onRefused(c)
		c.peerClose(false)
		return
	}
	a := k.pending
	switch {
	case c.proc.dead:
		k.s.checker.RequestInterrupted(k.s.now(), a.ID)
	case k.answered > 0 && len(k.buf) == 0 && k.s.checker.RetractRequest(a.ID):
		// The sidecar closed the idle connection while the request was on its way, and no endpoint got an
		// attempt: send it again on a new connection.
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

// onData implements peer.
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
		return // incomplete so far; the timeout handles an answer that never completes
	}
	k.buf = k.buf[len(k.buf)-left.Len()-r.Buffered():]
	k.handleResponse(&m)
}

// handleResponse records a complete answer.
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
