// Package fake holds the lab's stand-ins for what a sidecar meets: endpoints and
// discovery. They speak the published protocol on sockets of 127.0.0.0/8, behave as
// badly as they are told to, and tell the book of truth what came.
package fake

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"heathgap/decide"
	"heathgap/internal/lab/oracle"
	"heathgap/internal/lab/servermodel"
)

// Trouble is how an endpoint misbehaves.
type Trouble string

// The troubles. Those of one endpoint replace each other.
const (
	NoTrouble       Trouble = ""
	Errors          Trouble = "errors"  // answers 500 at once to a share of requests
	Hang            Trouble = "hang"    // takes requests and never answers
	Silent          Trouble = "silent"  // its machine is cut off: nothing is read or written
	Refuses         Trouble = "refuses" // turns all away at once
	TruncatedAnswer Trouble = "half"    // ends the connection within an answer
	Garbage         Trouble = "garbage" // answers with what is no HTTP
	ExtraBytes      Trouble = "surplus" // sends more than its answer
)

// Call makes one call of the next tier for a request, until the time that the request
// has, and tells whether it was served. The key is empty for requests without one.
type Call func(ctx context.Context, until time.Duration, key string) bool

// EndpointConf is what an endpoint is.
type EndpointConf struct {
	Name        string
	Address     string // with port 0 for any
	ServerModel servermodel.Conf
	Cold        bool
	Connections int           // at once; more are turned away; 0 for no limit
	Handshake   time.Duration // work that a new connection costs
	IdleFor     time.Duration // idle connections end after it
	BodyBytes   int           // of an answer, about
	Seed        uint64
	Classes     map[string]ClassConf
	Calls       int  // of the next tier for a request
	Call        Call // makes them; nil without any
}

// ClassConf is a class as endpoints know it.
type ClassConf struct {
	Effect decide.Effect
	Work   time.Duration // mean; drawn anew for each request
	Keys   *KeyMemory    // of the endpoint's group; nil for classes that are not keyed
}

// Endpoint is one process of a tier.
type Endpoint struct {
	conf     EndpointConf
	checker  *oracle.Shared
	listener net.Listener
	address  string
	ctx      context.Context // ends with the process
	cancel   context.CancelFunc

	mu        sync.Mutex
	model     *servermodel.Server
	timer     *time.Timer
	trouble   Trouble
	share     float64 // of requests that Errors strikes
	random    *rand.Rand
	conns     map[net.Conn]struct{}
	partition chan struct{} // closed when a silent machine is back
}

// errDied is told of jobs whose endpoint has died or fallen over.
var errDied = errors.New("the endpoint has died")

// StartEndpoint starts one. Its address may be that of one that has just died.
func StartEndpoint(conf EndpointConf, checker *oracle.Shared) (*Endpoint, error) {
	model, err := servermodel.New(conf.ServerModel, checker.Now(), conf.Cold)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", conf.Address)
	if err != nil {
		return nil, fmt.Errorf("endpoint %s: %w", conf.Name, err)
	}
	e := &Endpoint{
		conf: conf, checker: checker, listener: listener, address: listener.Addr().String(), model: model,
		random: rand.New(rand.NewPCG(conf.Seed, 1)), conns: map[net.Conn]struct{}{},
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.timer = time.AfterFunc(time.Hour, e.onTimer)
	go e.accept()
	return e, nil
}

// Name is the one that discovery lists.
func (e *Endpoint) Name() string { return e.conf.Name }

// Address is where it listens.
func (e *Endpoint) Address() string { return e.address }

// Kill ends it as a process that dies: its connections are reset, new ones refused.
func (e *Endpoint) Kill() {
	e.cancel()
	e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.timer.Stop()
	for _, j := range e.model.Clear() {
		j.Data.(*job).finish(errDied)
	}
	for conn := range e.conns {
		reset(conn)
	}
	e.heal()
}

// reset ends a connection with a reset in place of an orderly end.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0) //nolint:errcheck // it ends either way
	}
	conn.Close()
}

// SetTrouble changes its trouble; the share is that of requests that Errors strikes.
func (e *Endpoint) SetTrouble(trouble Trouble, share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.heal()
	e.trouble, e.share = trouble, share
	if trouble == Silent {
		e.partition = make(chan struct{})
	}
}

// heal brings a silent machine back: it resets what it had, as the peers may be gone.
func (e *Endpoint) heal() {
	if e.partition == nil {
		return
	}
	close(e.partition)
	e.partition = nil
	for conn := range e.conns {
		reset(conn)
	}
}

// Pause stops or resumes its work.
func (e *Endpoint) Pause(paused bool) {
	e.update(func(now time.Duration) { e.model.Pause(now, paused) })
}

// SetSpeed sets the part of its speed that is left.
func (e *Endpoint) SetSpeed(part float64) {
	e.update(func(now time.Duration) { e.model.SetSpeed(now, part) })
}

func (e *Endpoint) update(do func(now time.Duration)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.checker.Now()
	e.finishDue(now)
	do(now)
	e.armTimer(now)
}

// onTimer is the timer's: it hands out what is done.
func (e *Endpoint) onTimer() { e.update(func(time.Duration) {}) }

func (e *Endpoint) finishDue(now time.Duration) {
	done, overloaded := e.model.Due(now)
	if overloaded {
		e.checker.Do(func(b *oracle.Checker) { b.EndpointOverloaded(now, e.conf.Name) })
	}
	for _, j := range done {
		var err error
		if overloaded {
			err = errDied
		}
		j.Data.(*job).finish(err)
	}
}

func (e *Endpoint) armTimer(now time.Duration) {
	if at, ok := e.model.Next(); ok && e.ctx.Err() == nil {
		e.timer.Reset(max(0, at-now))
	}
}

func (e *Endpoint) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		if e.ctx.Err() != nil {
			e.mu.Unlock()
			reset(conn)
			return
		}
		e.conns[conn] = struct{}{}
		overLimit := e.conf.Connections > 0 && len(e.conns) > e.conf.Connections
		e.mu.Unlock()
		go e.serve(conn, overLimit)
	}
}

// inboundRequest is a request as it came.
type inboundRequest struct {
	class, id, key      string
	remaining           time.Duration
	firstByte, lastByte time.Duration
	closeAfter          bool
}

// job is a request at work at the station.
type job struct {
	servermodel.Job
	done chan error // its one end
}

func (j *job) finish(err error) { j.done <- err }

// serve carries one connection: a goroutine reads requests ahead, so that a peer
// that leaves is seen while one is at work.
func (e *Endpoint) serve(conn net.Conn, overLimit bool) {
	defer func() {
		conn.Close()
		e.mu.Lock()
		delete(e.conns, conn)
		e.mu.Unlock()
	}()
	gone := make(chan struct{})
	requests := make(chan inboundRequest)
	go e.read(conn, requests, gone)
	for newConn := true; ; newConn = false {
		select {
		case m := <-requests:
			if !e.answer(conn, m, newConn, overLimit, gone) {
				return
			}
		case <-gone:
			return
		}
	}
}

// read reads requests until the connection ends.
func (e *Endpoint) read(conn net.Conn, requests chan<- inboundRequest, gone chan<- struct{}) {
	defer close(gone)
	in := bufio.NewReader(conn)
	var request fasthttp.Request
	for {
		if e.conf.IdleFor > 0 {
			conn.SetReadDeadline(time.Now().Add(e.conf.IdleFor))
		}
		if _, err := in.Peek(1); err != nil {
			return
		}
		m := inboundRequest{firstByte: e.checker.Now()}
		if e.waitIfPartitioned() { // what came meanwhile never got there: the connection is reset
			return
		}
		if err := request.Read(in); err != nil {
			return
		}
		m.lastByte = e.checker.Now()
		conn.SetReadDeadline(time.Time{})
		path := string(request.URI().Path())
		m.class, _, _ = strings.Cut(strings.TrimPrefix(path, "/"), "/")
		m.id = string(request.Header.Peek("X-Txn"))
		m.key = string(request.Header.Peek("Idempotency-Key"))
		if s, err := strconv.ParseFloat(string(request.Header.Peek("X-Remaining")), 64); err == nil {
			m.remaining = time.Duration(s * float64(time.Second))
		}
		m.closeAfter = request.Header.ConnectionClose()
		select {
		case requests <- m:
		case <-e.ctx.Done():
			return
		}
	}
}

// waitIfPartitioned holds what has come, or is to go, while the machine is cut off, and
// tells whether it was.
func (e *Endpoint) waitIfPartitioned() bool {
	e.mu.Lock()
	cut := e.partition
	e.mu.Unlock()
	if cut == nil {
		return false
	}
	select {
	case <-cut:
	case <-e.ctx.Done():
	}
	return true
}

// What endpoints answer.
const (
	rejectedAnswer    = "HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"
	serverErrorAnswer = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	notFoundAnswer    = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
	badRequestAnswer  = "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"
)

// answer works a request off; false ends the connection.
func (e *Endpoint) answer(conn net.Conn, m inboundRequest, newConn, overLimit bool, gone <-chan struct{}) bool {
	class, known := e.conf.Classes[m.class]
	if m.id == "" || !known {
		return writeText(conn, notFoundAnswer)
	}
	trouble, fails := e.currentTrouble()
	switch {
	case overLimit || trouble == Refuses:
		return e.reject(conn, m) && !overLimit
	case trouble == Silent:
		e.waitIfPartitioned() // it came as the machine was cut off
		return false
	}
	var first, own *keyRun
	if class.Keys != nil {
		first, own = class.Keys.Observe(m.lastByte, m.key)
	}
	switch {
	case fails: // it fails having run: its key is known from then on
		own.finish()
		return e.recordArrival(m, true, first != nil) && writeText(conn, serverErrorAnswer)
	case first != nil:
		return e.repeat(conn, m, first, gone)
	}
	j, accepted := e.startJob(m, class, newConn)
	if !accepted {
		if own != nil {
			class.Keys.Forget(own)
		}
		return e.reject(conn, m)
	}
	defer own.finish()
	if !e.recordArrival(m, true, false) {
		return writeText(conn, badRequestAnswer)
	}
	if trouble == Hang {
		e.wait(nil, gone)
		return false
	}
	if err := e.waitForJob(j, class, gone); err != nil {
		return false
	}
	if !e.callNextTier(m, gone) {
		return writeText(conn, serverErrorAnswer)
	}
	return e.writeServed(conn, trouble, m, "") && !m.closeAfter
}

// currentTrouble is the trouble of the moment, and whether it strikes this request.
func (e *Endpoint) currentTrouble() (Trouble, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.trouble, e.trouble == Errors && e.random.Float64() < e.share
}

// recordArrival books an attempt; false if no client sent it.
func (e *Endpoint) recordArrival(m inboundRequest, accepted, repeat bool) (known bool) {
	e.checker.Do(func(b *oracle.Checker) {
		known = b.AttemptArrived(oracle.Arrival{
			ID: m.id, Endpoint: e.conf.Name, FirstByte: m.firstByte, LastByte: m.lastByte, Accepted: accepted, Repeat: repeat,
		})
	})
	return known
}

func (e *Endpoint) reject(conn net.Conn, m inboundRequest) bool {
	e.recordArrival(m, false, false)
	return writeText(conn, rejectedAnswer)
}

// repeat answers a request whose key is known, once the run that it repeats ends.
func (e *Endpoint) repeat(conn net.Conn, m inboundRequest, first *keyRun, gone <-chan struct{}) bool {
	if !e.recordArrival(m, true, true) {
		return writeText(conn, badRequestAnswer)
	}
	if !e.wait(first.done, gone) {
		return false
	}
	return e.writeServed(conn, NoTrouble, m, " repeat")
}

// wait waits for something; false if the peer goes or the endpoint dies first.
func (e *Endpoint) wait(what, gone <-chan struct{}) bool {
	select {
	case <-what:
		return true
	case <-gone:
	case <-e.ctx.Done():
	}
	return false
}

// startJob gives a request to the station.
func (e *Endpoint) startJob(m inboundRequest, class ClassConf, newConn bool) (*job, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.checker.Now()
	if e.ctx.Err() != nil {
		return nil, false
	}
	e.finishDue(now)
	j := &job{done: make(chan error, 1)}
	j.Data = j
	j.Work = time.Duration(e.random.ExpFloat64() * float64(class.Work))
	if newConn {
		j.Work += e.conf.Handshake
	}
	accepted := e.model.Arrive(now, &j.Job) == servermodel.Accepted
	e.armTimer(now)
	return j, accepted
}

// waitForJob waits for a job. What may be repeated is given up when its peer has gone;
// an effect goes on, whoever waits for it.
func (e *Endpoint) waitForJob(j *job, class ClassConf, gone <-chan struct{}) error {
	select {
	case err := <-j.done:
		return err
	case <-gone:
	}
	if class.Effect != decide.Safe {
		return <-j.done
	}
	e.mu.Lock()
	now := e.checker.Now()
	canceled := e.model.Cancel(now, &j.Job)
	e.armTimer(now)
	e.mu.Unlock()
	if !canceled {
		return <-j.done
	}
	return errDied
}

// callNextTier makes the calls of the next tier, one after the other.
func (e *Endpoint) callNextTier(m inboundRequest, gone <-chan struct{}) bool {
	if e.conf.Call == nil {
		return true
	}
	ctx, cancel := context.WithCancel(e.ctx)
	defer cancel()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-gone:
			cancel()
		case <-ended:
		}
	}()
	for i := range e.conf.Calls {
		key := ""
		if m.key != "" {
			key = m.key + "/" + strconv.Itoa(i)
		}
		if !e.conf.Call(ctx, m.lastByte+m.remaining, key) {
			return false
		}
	}
	return true
}

// writeServed writes a served answer, as the trouble has it. Its body begins with the id
// of the request, so that clients know an answer that is not theirs.
func (e *Endpoint) writeServed(conn net.Conn, trouble Trouble, m inboundRequest, note string) bool {
	if e.waitIfPartitioned() {
		return false
	}
	body := m.id + " " + e.conf.Name + note + "\n"
	if pad := e.conf.BodyBytes - len(body); pad > 0 {
		body += strings.Repeat(".", pad)
	}
	text := "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	switch trouble {
	case TruncatedAnswer:
		writeText(conn, text[:len(text)-len(body)/2])
		return false
	case Garbage:
		writeText(conn, "what do you mean\r\n\r\n")
		return false
	case ExtraBytes:
		text += "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	}
	return writeText(conn, text)
}

const writeTimeout = 10 * time.Second // a peer that does not read ends its connection

func writeText(conn net.Conn, text string) bool {
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := conn.Write([]byte(text))
	return err == nil
}
