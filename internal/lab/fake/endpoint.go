// Package fake contains the lab's fake endpoints and fake discovery. They speak the published protocol on sockets of
// 127.0.0.0/8, misbehave as they are told, and report to the checker what they received.
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

// The troubles. An endpoint has one at a time.
const (
	NoTrouble       Trouble = ""
	Errors          Trouble = "errors"  // answers 500 at once to a share of the requests
	Hang            Trouble = "hang"    // accepts requests and never answers
	Silent          Trouble = "silent"  // its machine is partitioned: nothing is read or written
	Refuses         Trouble = "refuses" // rejects all requests at once
	TruncatedAnswer Trouble = "half"    // closes the connection within an answer
	Garbage         Trouble = "garbage" // answers with something that is not HTTP
	ExtraBytes      Trouble = "surplus" // sends bytes after its answer
)

// Call makes one call of the next tier on behalf of a request, until the request's deadline, and reports whether it was
// served. The key is empty if the request has none.
type Call func(ctx context.Context, until time.Duration, key string) bool

// EndpointConf is the configuration of an endpoint.
type EndpointConf struct {
	Name        string
	Address     string // port 0 for any free port
	ServerModel servermodel.Conf
	Cold        bool
	Connections int           // accepted at once; requests on further ones are rejected; 0 for no limit
	Handshake   time.Duration // work that the first request of a connection adds
	IdleFor     time.Duration // how long a connection may be idle before it is closed; 0 for no limit
	BodyBytes   int           // minimum size of the body of a served answer
	Seed        uint64
	Classes     map[string]ClassConf
	Calls       int  // calls of the next tier for each request
	Call        Call // makes one such call; nil for none
}

// ClassConf is a class as endpoints know it.
type ClassConf struct {
	Effect decide.Effect
	Work   time.Duration // mean of an exponential distribution
	Keys   *KeyMemory    // shared by the endpoints of the effect group; nil for classes that are not keyed
}

// Endpoint is one fake endpoint process.
type Endpoint struct {
	conf     EndpointConf
	checker  *oracle.Shared
	listener net.Listener
	address  string
	ctx      context.Context // ends when the process dies
	cancel   context.CancelFunc

	mu        sync.Mutex
	model     *servermodel.Server
	timer     *time.Timer
	trouble   Trouble
	share     float64 // share of the requests that fail, with trouble Errors
	random    *rand.Rand
	conns     map[net.Conn]struct{}
	partition chan struct{} // not nil while the machine is partitioned; closed when that ends
}

// errDied is the error of jobs whose endpoint has died, or was overloaded while cold.
var errDied = errors.New("the endpoint has died")

// StartEndpoint starts an endpoint. Its address may be that of an endpoint that has just died.
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

// Name returns the name in discovery's list.
func (e *Endpoint) Name() string { return e.conf.Name }

// Address returns the address that the endpoint listens on.
func (e *Endpoint) Address() string { return e.address }

// Kill ends the endpoint as if its process died: connections are reset, and new ones refused.
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

// reset closes a connection with a reset (RST) instead of an orderly end.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0) //nolint:errcheck // the connection ends either way
	}
	conn.Close()
}

// SetTrouble changes the trouble. The share is that of the requests that fail, with trouble Errors.
func (e *Endpoint) SetTrouble(trouble Trouble, share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.heal()
	e.trouble, e.share = trouble, share
	if trouble == Silent {
		e.partition = make(chan struct{})
	}
}

// heal ends a partition. It resets the connections, as the peers may have gone meanwhile.
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

// Pause stops (true) or resumes (false) all work.
func (e *Endpoint) Pause(paused bool) {
	e.update(func(now time.Duration) { e.model.Pause(now, paused) })
}

// SetSpeed sets the speed, as a part of the normal speed.
func (e *Endpoint) SetSpeed(part float64) {
	e.update(func(now time.Duration) { e.model.SetSpeed(now, part) })
}

// update brings the model up to date, changes it and sets the timer anew.
func (e *Endpoint) update(do func(now time.Duration)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.checker.Now()
	e.finishDue(now)
	do(now)
	e.armTimer(now)
}

// onTimer finishes the jobs that are done by now.
func (e *Endpoint) onTimer() { e.update(func(time.Duration) {}) }

// finishDue finishes the jobs that are done. If the model was overloaded while cold, all jobs fail, and the endpoint
// reports the overload to the checker.
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

// armTimer sets the timer to the next event of the model.
func (e *Endpoint) armTimer(now time.Duration) {
	if at, ok := e.model.Next(); ok && e.ctx.Err() == nil {
		e.timer.Reset(max(0, at-now))
	}
}

// accept accepts connections until the endpoint dies.
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

// inboundRequest is a received request. Its times are on the checker's clock.
type inboundRequest struct {
	class, id, key      string
	remaining           time.Duration
	firstByte, lastByte time.Duration
	closeAfter          bool
}

// job is a request that the server model works on.
type job struct {
	servermodel.Job
	done chan error // receives the job's result, once
}

func (j *job) finish(err error) { j.done <- err }

// serve handles one connection. A second goroutine reads requests ahead, so that the end of the connection is noticed
// while a request is being handled.
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
		if e.waitIfPartitioned() { // the request never arrived: the connection is reset
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

// waitIfPartitioned waits while the machine is partitioned, and reports whether it was.
func (e *Endpoint) waitIfPartitioned() bool {
	e.mu.Lock()
	partition := e.partition
	e.mu.Unlock()
	if partition == nil {
		return false
	}
	select {
	case <-partition:
	case <-e.ctx.Done():
	}
	return true
}

// Answers without a body.
const (
	rejectedAnswer    = "HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"
	serverErrorAnswer = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	notFoundAnswer    = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
	badRequestAnswer  = "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"
)

// answer handles one request. It returns false if the connection must be closed.
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
		e.waitIfPartitioned() // the partition began after the request was read
		return false
	}
	var first, own *keyRun
	if class.Keys != nil {
		first, own = class.Keys.Observe(m.lastByte, m.key)
	}
	switch {
	case fails: // the request fails after its effect: repeats of its key have none
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

// currentTrouble returns the trouble, and whether it makes this request fail.
func (e *Endpoint) currentTrouble() (Trouble, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.trouble, e.trouble == Errors && e.random.Float64() < e.share
}

// recordArrival reports an attempt to the checker. It returns false if no client has sent such a request.
func (e *Endpoint) recordArrival(m inboundRequest, accepted, repeat bool) (known bool) {
	e.checker.Do(func(b *oracle.Checker) {
		known = b.AttemptArrived(oracle.Arrival{
			ID: m.id, Endpoint: e.conf.Name, FirstByte: m.firstByte, LastByte: m.lastByte, Accepted: accepted, Repeat: repeat,
		})
	})
	return known
}

// reject answers that the request was rejected before any effect.
func (e *Endpoint) reject(conn net.Conn, m inboundRequest) bool {
	e.recordArrival(m, false, false)
	return writeText(conn, rejectedAnswer)
}

// repeat answers a request whose key is known, once the run that it repeats has ended.
func (e *Endpoint) repeat(conn net.Conn, m inboundRequest, first *keyRun, gone <-chan struct{}) bool {
	if !e.recordArrival(m, true, true) {
		return writeText(conn, badRequestAnswer)
	}
	if !e.wait(first.done, gone) {
		return false
	}
	return e.writeServed(conn, NoTrouble, m, " repeat")
}

// wait waits until what is closed. It returns false if the peer leaves or the endpoint dies first.
func (e *Endpoint) wait(what, gone <-chan struct{}) bool {
	select {
	case <-what:
		return true
	case <-gone:
	case <-e.ctx.Done():
	}
	return false
}

// startJob gives a request to the server model, and returns false if the model rejects it.
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

// waitForJob waits for a job. If the peer leaves meanwhile, a safe request is canceled; one with an effect goes on to
// its end.
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

// callNextTier makes the calls of the next tier, one after the other. It returns false as soon as one fails.
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

// writeServed writes an answer with status 200, spoiled as the trouble says. The body begins with the request's ID, so
// that a client recognizes an answer to another request.
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

const writeTimeout = 10 * time.Second // a peer that reads nothing for so long ends its connection

func writeText(conn net.Conn, text string) bool {
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := conn.Write([]byte(text))
	return err == nil
}
