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

// request is a message that has come whole.
type request struct {
	method, path, class, id, key, query string
	first, whole                        time.Duration
}

// inbox gathers the bytes of a connection into requests.
type inbox struct {
	buf   []byte
	first time.Duration // of the first byte that stands there
}

// add takes bytes; the requests that are whole by now come back. An error means that
// what came is no request.
func (in *inbox) add(now time.Duration, b []byte) (whole []request, err error) {
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
			return whole, nil
		}
		if err != nil {
			return whole, err
		}
		in.buf = in.buf[len(in.buf)-left.Len()-r.Buffered():]
		path := string(m.URI().Path())
		q := request{
			method: string(m.Header.Method()), path: path, query: string(m.URI().QueryString()),
			id: string(m.Header.Peek("X-Txn")), key: string(m.Header.Peek("Idempotency-Key")),
			first: in.first, whole: now,
		}
		q.class, _, _ = strings.Cut(strings.TrimPrefix(path, "/"), "/")
		whole = append(whole, q)
		in.first = now
	}
	return whole, nil
}

// keyMemory is what a group of endpoints knows of keys.
type keyMemory struct {
	window time.Duration
	seen   map[string]*keyRun
}

type keyRun struct {
	at      time.Duration
	done    bool
	waiters []func()
}

func (k *keyMemory) see(now time.Duration, key string) (first, own *keyRun) {
	if first = k.seen[key]; first != nil && now-first.at <= k.window {
		return first, nil
	}
	own = &keyRun{at: now}
	k.seen[key] = own
	return nil, own
}

func (r *keyRun) end() {
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
	s       *simulation
	name    string
	address string
	station *servermodel.Server
	inboxes map[*conn]*inbox
	busy    map[*conn]*task
	conns   []*conn
	next    *event
	trouble Kind
	cutOff  bool

	slowToConnect bool // beside whatever else troubles it

	dead   bool
	number int // of the next event of its own
}

// task is a request at work.
type task struct {
	servermodel.Job
	q    request
	c    *conn // nil when its peer has gone
	own  *keyRun
	work bool // it is at the station
}

func (e *endpoint) silent() bool { return e.cutOff }

// lateConnect is how late connections come up, of those that do: within the connect time-out.
const lateConnect = 250 * time.Millisecond

func (e *endpoint) late() time.Duration {
	if !e.slowToConnect {
		return 0
	}
	return lateConnect
}

func (e *endpoint) opened(c *conn) {
	if e.dead {
		c.peerClose(true)
		return
	}
	e.conns = append(e.conns, c)
	e.inboxes[c] = &inbox{}
	if e.cutOff {
		c.silence(true)
	}
}

func (e *endpoint) refused(*conn) {}

func (e *endpoint) data(c *conn, b []byte) {
	in := e.inboxes[c]
	if e.dead || in == nil {
		return
	}
	whole, err := in.add(e.s.now(), b)
	for _, q := range whole {
		e.take(c, q)
	}
	if err != nil {
		e.drop(c, true)
	}
}

// ended is told when the sidecar has closed: what is safe is given up, an effect goes on.
func (e *endpoint) ended(c *conn, _ bool) {
	if t := e.busy[c]; t != nil {
		t.c = nil
		if t.work && e.s.classes[t.q.class].Effect == decide.Safe && e.station.Cancel(e.s.now(), &t.Job) {
			e.arm()
		}
	}
	e.drop(c, false)
}

func (e *endpoint) drop(c *conn, reset bool) {
	delete(e.inboxes, c)
	delete(e.busy, c)
	e.conns = slices.DeleteFunc(e.conns, func(o *conn) bool { return o == c })
	c.peerClose(reset)
}

const (
	offText  = "HTTP/1.1 503 x\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"
	failText = "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n"
)

// take takes a request that has come whole.
func (e *endpoint) take(c *conn, q request) {
	class, known := e.s.classes[q.class]
	e.s.seen[q.id] = true
	arrived := func(runs, repeat bool) {
		e.s.book.AttemptArrived(oracle.Arrival{ID: q.id, Endpoint: e.name, FirstByte: q.first, LastByte: q.whole, Accepted: runs, Repeat: repeat})
	}
	if !known || e.trouble == Refuse {
		arrived(false, false)
		c.peerWrite(offText)
		return
	}
	var first, own *keyRun
	if class.Effect == decide.Keyed {
		first, own = e.s.keys.see(q.whole, q.key)
	}
	if e.trouble == Errors {
		arrived(true, first != nil)
		own.end()
		c.peerWrite(failText)
		return
	}
	if first != nil {
		arrived(true, true)
		answer := func() { c.peerWrite(okText(q, e.name)) }
		if first.done {
			answer()
		} else {
			first.waiters = append(first.waiters, answer)
		}
		return
	}
	t := &task{q: q, c: c, own: own, work: true}
	t.Data = t
	t.Work = time.Duration(e.s.dice(e.name, q.id).ExpFloat64() * float64(e.s.work))
	e.due()
	if e.station.Arrive(e.s.now(), &t.Job) == servermodel.Rejected {
		if own != nil {
			delete(e.s.keys.seen, q.key)
		}
		arrived(false, false)
		c.peerWrite(offText)
		return
	}
	arrived(true, false)
	e.busy[c] = t
	e.arm()
}

func okText(q request, name string) string {
	body := q.id + " " + name + "\n"
	return "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// due hands out what is done by now.
func (e *endpoint) due() {
	done, fell := e.station.Due(e.s.now())
	if fell {
		e.s.book.EndpointOverloaded(e.s.now(), e.name)
	}
	for _, j := range done {
		t := j.Data.(*task)
		t.work = false
		t.own.end()
		if t.c == nil {
			continue
		}
		delete(e.busy, t.c)
		if fell {
			e.drop(t.c, true)
			continue
		}
		e.answer(t)
	}
}

// answer writes a task's answer, as the trouble has it.
func (e *endpoint) answer(t *task) {
	text := okText(t.q, e.name)
	switch e.trouble {
	case Hang:
		return
	case Half:
		if e.s.dice(e.name, t.q.id, "open").IntN(2) == 0 { // only its connection's end would tell its end
			_, body, _ := strings.Cut(text, "\r\n\r\n")
			t.c.peerWrite("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body[:len(body)-3])
			e.drop(t.c, true)
			return
		}
		t.c.peerWrite(text[:len(text)-3])
		e.drop(t.c, e.s.dice(e.name, t.q.id, "half").IntN(2) == 0)
		return
	case Garbage:
		text = "what?\r\n\r\n"
	}
	t.c.peerWrite(text)
}

func (e *endpoint) arm() {
	if e.next != nil {
		e.s.w.off(e.next)
		e.next = nil
	}
	at, ok := e.station.Next()
	if !ok || e.dead {
		return
	}
	e.number++
	// Up to the network's grid: an answer may then leave, and come, in the same instant
	// as something else does.
	at = (at + leastLatency - 1).Truncate(leastLatency)
	e.next = e.s.w.at(fmt.Sprintf("%s/work/%d", e.name, e.number), e.s.w.start.Add(at), func() {
		e.next = nil
		e.due()
		e.arm()
	})
}

// kill ends the process; its keys stay with the group, as do effects.
func (e *endpoint) kill() {
	e.dead = true
	for _, j := range e.station.Clear() {
		j.Data.(*task).own.end()
	}
	for _, c := range slices.Clone(e.conns) {
		e.drop(c, true)
	}
	e.arm()
}

func (e *endpoint) pause(paused bool) {
	e.due()
	e.station.Pause(e.s.now(), paused)
	e.arm()
}

// cutMachine cuts the endpoint's machine off, or brings it back: its old connections are
// reset then.
func (e *endpoint) cutMachine(cut bool) {
	e.cutOff = cut
	for _, c := range slices.Clone(e.conns) {
		c.silence(cut)
		if !cut {
			e.drop(c, true)
		}
	}
}

// listLine is a line of the list, as discovery writes it.
type listLine struct {
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
	s       *simulation
	index   int64
	names   []string
	lines   map[string]listLine
	changed map[string]int64
	down    bool
	inboxes map[*conn]*inbox
	waiting []*watcher
}

type watcher struct {
	c     *conn
	after int64
	end   *event
}

func newDiscovery(s *simulation) *discovery {
	return &discovery{s: s, lines: map[string]listLine{}, changed: map[string]int64{}, inboxes: map[*conn]*inbox{}}
}

func (d *discovery) set(l listLine) {
	d.index++
	if _, known := d.lines[l.Name]; !known {
		d.names = append(d.names, l.Name)
	}
	d.lines[l.Name], d.changed[l.Name] = l, d.index
	d.s.book.ListPublished(d.s.now(), d.index, l.Name, l.Status == "SERVING")
	if l.Status != "SERVING" {
		for _, sc := range d.s.sidecars {
			if sc.proc.dialing[l.Address] > 0 {
				d.s.w.met[DrainDuringDial]++
			}
		}
	}
	waiting := d.waiting
	d.waiting = nil
	for _, w := range waiting {
		d.s.w.off(w.end)
		d.tell(w.c, w.after)
	}
}

func (d *discovery) list(after int64) map[string]any {
	lines := []listLine{}
	for _, name := range d.names {
		l := d.lines[name]
		if after == 0 && l.Status == "DELETED" || after > 0 && d.changed[name] <= after {
			continue
		}
		lines = append(lines, l)
	}
	return map[string]any{"index": d.index, "snapshot": after == 0, "endpoints": lines}
}

// tell answers a call with what is newer, and books what it told.
func (d *discovery) tell(c *conn, after int64) {
	text, err := json.Marshal(d.list(after))
	if err != nil {
		panic(err) // it holds nothing that can't be written
	}
	c.peerWrite("HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n" + string(text))
	d.s.book.ListDelivered(d.s.now()+spikeLatency*2, c.proc.name(), d.index)
	d.s.book.ListCallEnded(d.s.now(), c.proc.name())
}

func (d *discovery) setDown(down bool) {
	d.down = down
	d.s.book.SetDiscoveryUp(d.s.now(), !down)
	if !down {
		return
	}
	waiting := d.waiting
	d.waiting = nil
	for _, w := range waiting {
		d.s.w.off(w.end)
		d.s.book.ListCallEnded(d.s.now(), w.c.proc.name())
		w.c.peerClose(true)
		delete(d.inboxes, w.c)
	}
}

func (d *discovery) opened(c *conn) {
	if d.down {
		c.peerClose(true)
		return
	}
	d.inboxes[c] = &inbox{}
}

func (d *discovery) refused(*conn) {}

func (d *discovery) ended(c *conn, _ bool) {
	delete(d.inboxes, c)
	d.waiting = slices.DeleteFunc(d.waiting, func(w *watcher) bool {
		if w.c == c {
			d.s.w.off(w.end)
			d.s.book.ListCallEnded(d.s.now(), c.proc.name())
		}
		return w.c == c
	})
	c.peerClose(false)
}

func (d *discovery) data(c *conn, b []byte) {
	in := d.inboxes[c]
	if in == nil {
		return
	}
	whole, _ := in.add(d.s.now(), b)
	for _, q := range whole {
		d.s.book.ListCallBegun(c.proc.name())
		d.call(c, q)
	}
}

func (d *discovery) call(c *conn, q request) {
	if d.down {
		c.peerWrite("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")
		d.s.book.ListCallEnded(d.s.now(), c.proc.name())
		return
	}
	var after, ms int64
	fmt.Sscanf(q.query, "after=%d&wait_ms=%d", &after, &ms) //nolint:errcheck // the whole list has neither
	if after == 0 || d.index > after {
		d.tell(c, after)
		return
	}
	d.s.book.WatchAccepted(c.proc.name(), d.s.now()+time.Duration(ms)*time.Millisecond)
	w := &watcher{c: c, after: after}
	w.end = d.s.w.after(c.id+"/watch", time.Duration(ms)*time.Millisecond, func() {
		d.waiting = slices.DeleteFunc(d.waiting, func(o *watcher) bool { return o == w })
		d.tell(c, after)
	})
	d.waiting = append(d.waiting, w)
}

// client is one caller's connection; it asks one thing at a time.
type client struct {
	s     *simulation
	c     *conn
	ask   *Ask // what is out; nil while idle
	out   time.Duration
	buf   []byte
	uses  int
	gone  bool // the sidecar has ended it, or it is no use any more
	limit *event
}

func (k *client) opened(c *conn) {
	if !k.gone {
		k.write()
	}
}

// refused is told when no connection came up: nothing was asked.
func (k *client) refused(*conn) {
	k.gone = true
	k.s.unreached++
	k.s.settled++
	k.ask = nil
}

// write sends what the client asks.
func (k *client) write() {
	a := k.ask
	class := k.s.classes[a.Class]
	k.out = k.s.now()
	until := k.out + class.Deadline
	k.s.book.RequestBegun(oracle.Request{ID: a.ID, Sidecar: k.c.proc.name(), Effect: class.Effect, Key: a.Key, Deadline: until + spikeLatency*2})
	k.s.book.RequestWritten(a.ID)
	k.s.asking[k] = true
	method, more := "GET", ""
	if class.Effect != decide.Safe {
		method, more = "POST", "Content-Length: 4\r\n"
	}
	if a.Key != "" {
		more += "Idempotency-Key: " + a.Key + "\r\n"
	}
	body := ""
	if method == "POST" {
		body = "body"
	}
	k.c.peerWrite(fmt.Sprintf("%s /%s/x HTTP/1.1\r\nHost: sim\r\nX-Txn: %s\r\nX-Remaining: %.6f\r\n%s\r\n%s",
		method, a.Class, a.ID, class.Deadline.Seconds(), more, body))
	wait := class.Deadline + k.s.patience()
	if a.Leave > 0 {
		wait = a.Leave
	}
	k.limit = k.s.w.after(k.c.id+"/limit/"+a.ID, wait, func() { k.timeUp(a.Leave > 0) })
}

func (k *client) timeUp(leaves bool) {
	if leaves {
		k.s.book.ClientLeft(k.s.now(), k.ask.ID)
	} else {
		k.s.book.Unanswered(k.s.now(), k.ask.ID)
	}
	k.end(true)
}

// end ends what is out, and the connection.
func (k *client) end(reset bool) {
	k.s.w.off(k.limit)
	k.ask, k.gone = nil, true
	delete(k.s.asking, k)
	k.s.settled++
	k.c.peerClose(reset)
}

func (k *client) ended(c *conn, _ bool) {
	if k.gone {
		return
	}
	k.gone = true
	if k.ask == nil {
		c.peerClose(false)
		return
	}
	if k.limit == nil { // it broke before anything was written
		k.refused(c)
		c.peerClose(false)
		return
	}
	a := k.ask
	switch {
	case c.proc.dead:
		k.s.book.RequestInterrupted(k.s.now(), a.ID)
	case k.uses > 0 && len(k.buf) == 0 && k.s.book.RetractRequest(a.ID):
		// It ended as the request crossed that: once more, on a new connection.
		k.s.w.off(k.limit)
		k.ask = nil
		delete(k.s.asking, k)
		c.peerClose(false)
		k.s.connect(a)
		return
	default:
		k.s.book.Unanswered(k.s.now(), a.ID)
	}
	k.end(false)
}

func (k *client) data(_ *conn, b []byte) {
	if k.gone {
		return
	}
	if k.ask == nil {
		k.s.book.ExtraBytes(k.s.now(), k.c.id)
		k.gone = true
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
	k.answered(&m)
}

func (k *client) answered(m *fasthttp.Response) {
	a, now := k.ask, k.s.now()
	k.s.w.off(k.limit)
	verdict := oracle.Failed
	switch m.StatusCode() {
	case fasthttp.StatusOK:
		verdict = oracle.Served
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		verdict = oracle.Refused
	}
	if body := string(m.Body()); verdict == oracle.Served && !(strings.HasPrefix(body, a.ID+" ") && strings.HasSuffix(body, "\n")) {
		k.s.book.ForeignAnswer(now, a.ID)
	} else {
		k.s.book.AnswerReceived(now, a.ID, verdict)
	}
	if len(k.buf) > 0 {
		k.s.book.ExtraBytes(now, a.ID)
	}
	k.s.verdicts[verdict]++
	delete(k.s.asking, k)
	k.s.settled++
	k.uses++
	k.ask = nil
	if m.ConnectionClose() || a.Close {
		k.gone = true
		k.c.peerClose(false)
		return
	}
	k.s.idle = append(k.s.idle, k)
}
