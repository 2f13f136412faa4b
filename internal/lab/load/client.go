package load

import (
	"bufio"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"heathgap/decide"
	"heathgap/internal/lab/oracle"
)

// Target is one process of a sidecar, from its start to its end. A sidecar that starts again is another Target of the
// same name.
type Target struct {
	Name, Address string
	Stopped       atomic.Bool // set when the lab kills or stops the process: its open requests then count as interrupted, not as lost
}

// Front picks the sidecar for each new connection. It may pick one that has died.
type Front interface {
	Pick() *Target // nil if there is none
}

// SingleTarget is a Front with one sidecar, which may be replaced.
type SingleTarget struct{ target atomic.Pointer[Target] }

// Set replaces the target.
func (s *SingleTarget) Set(t *Target) { s.target.Store(t) }

// Pick returns the target, or nil if none was set.
func (s *SingleTarget) Pick() *Target { return s.target.Load() }

// Timeouts and bounds of a client.
const (
	dialTimeout   = time.Second
	writeTimeout  = 5 * time.Second
	maxAnswerBody = 4 << 20 // bytes
	maxDials      = 3       // connection attempts for a request: after a failed one, the client tries the next sidecar that the front picks
)

// Client sends requests to sidecars over connections that it reuses, and reports each request and its end to the
// checker.
type Client struct {
	checker *oracle.Shared
	front   Front
	grace   time.Duration // how long after a request's deadline the client still waits for its answer

	OnServed func(endpoint string) // if not nil, called for each served answer with the endpoint's name; set before the first Send

	mu   sync.Mutex
	idle []*conn
}

// NewClient returns a client that reports to checker. It waits for grace past a request's deadline before it reports
// the answer as missing.
func NewClient(checker *oracle.Shared, front Front, grace time.Duration) *Client {
	return &Client{checker: checker, front: front, grace: grace}
}

// conn is a connection to a sidecar.
type conn struct {
	net.Conn
	in     *bufio.Reader
	target *Target
	lastID string // ID of the request that was answered last; empty on a new connection
}

// Request is one request to send. Times are on the checker's clock.
type Request struct {
	ID, Class, Tenant, Key string
	Tier                   int
	Effect                 decide.Effect
	Deadline               time.Duration // when the client stops waiting for the answer
	Leave                  time.Duration // when the client leaves, if that is before Deadline; 0 for never
	Repeat                 bool
	Body                   int  // in bytes, of POST requests
	Close                  bool // the client asks to close the connection after the answer
}

// Ending is how a try of a request ended.
type Ending uint8

// The endings of a try.
const (
	Answered       Ending = iota
	NoAnswer              // the connection ended, or the time was up, without a complete answer
	ClientLeft            // the client left before the deadline
	SidecarStopped        // the lab had stopped the sidecar
	NotConnected          // no sidecar accepted the connection, or the request could not be written
)

// Result is the outcome of a try. Verdict and RetryAfter are set only if Ending is Answered.
type Result struct {
	Ending     Ending
	Verdict    oracle.Verdict
	RetryAfter time.Duration
}

// Send sends a request once and waits for its answer. If a reused connection ends before any answer, and no endpoint
// has received the request, Send repeats it once on a new connection: the sidecar may have closed the idle connection
// just as the request was sent.
func (c *Client) Send(ctx context.Context, req Request) Result {
	for reuse := true; ; reuse = false {
		conn := c.connection(ctx, reuse)
		if conn == nil {
			return Result{Ending: NotConnected}
		}
		retry, result := c.exchange(ctx, conn, req)
		if !retry {
			return result
		}
	}
}

// exchange writes a request on conn and reads its answer. It returns retry if the request had no effect and may be sent
// again on a new connection.
func (c *Client) exchange(ctx context.Context, conn *conn, req Request) (retry bool, result Result) {
	reused := conn.lastID != ""
	c.checker.Do(func(b *oracle.Checker) {
		b.RequestBegun(oracle.Request{
			ID: req.ID, Sidecar: conn.target.Name, Tier: req.Tier, Effect: req.Effect, Key: req.Key, Deadline: req.Deadline,
		})
	})
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := conn.Write(encode(&req, req.Deadline-c.checker.Now())); err != nil {
		conn.Close()
		retry := c.retract(req.ID)
		return retry && reused, Result{Ending: NotConnected}
	}
	c.checker.Do(func(b *oracle.Checker) { b.RequestWritten(req.ID) })
	until, leavesEarly := req.Deadline+c.grace, req.Leave > 0 && req.Leave < req.Deadline
	if leavesEarly {
		until = req.Leave
	}
	conn.SetReadDeadline(c.checker.StartTime().Add(until))
	stop := context.AfterFunc(ctx, func() { conn.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := conn.in.Peek(1); err != nil {
		if reused && !errors.Is(err, os.ErrDeadlineExceeded) && !conn.target.Stopped.Load() && c.retract(req.ID) {
			conn.Close()
			return true, Result{}
		}
		return false, c.recordFailure(conn, req.ID, err, leavesEarly || ctx.Err() != nil)
	}
	var answer fasthttp.Response
	if err := answer.ReadLimitBody(conn.in, maxAnswerBody); err != nil {
		return false, c.recordFailure(conn, req.ID, err, leavesEarly || ctx.Err() != nil)
	}
	return false, c.recordAnswer(conn, &req, &answer)
}

// retract takes a request back from the checker. It returns false if an endpoint has received it.
func (c *Client) retract(id string) (retracted bool) {
	c.checker.Do(func(b *oracle.Checker) { retracted = b.RetractRequest(id) })
	return retracted
}

// recordFailure closes the connection and reports the request as interrupted, as left by the client or as unanswered.
func (c *Client) recordFailure(conn *conn, id string, err error, leavesEarly bool) Result {
	now := c.checker.Now()
	timeout := errors.Is(err, os.ErrDeadlineExceeded)
	stopped := conn.target.Stopped.Load()
	conn.Close()
	result := Result{Ending: NoAnswer}
	c.checker.Do(func(b *oracle.Checker) {
		switch {
		case stopped:
			result.Ending = SidecarStopped
			b.RequestInterrupted(now, id)
		case timeout && leavesEarly:
			result.Ending = ClientLeft
			b.ClientLeft(now, id)
		default:
			b.Unanswered(now, id)
		}
	})
	return result
}

// recordAnswer reports a complete answer and puts the connection back among the idle ones, unless it must be closed.
func (c *Client) recordAnswer(conn *conn, req *Request, answer *fasthttp.Response) Result {
	now := c.checker.Now()
	result := Result{Ending: Answered, Verdict: verdictOf(answer.StatusCode())}
	if s, err := strconv.ParseFloat(string(answer.Header.Peek(fasthttp.HeaderRetryAfter)), 64); err == nil && s > 0 {
		result.RetryAfter = time.Duration(s * float64(time.Second))
	}
	foreign := result.Verdict == oracle.Served && !strings.HasPrefix(string(answer.Body()), req.ID+" ")
	if c.OnServed != nil && result.Verdict == oracle.Served && !foreign {
		_, endpoint, _ := strings.Cut(string(answer.Body()), " ")
		endpoint, _, _ = strings.Cut(endpoint, "\n")
		c.OnServed(endpoint)
	}
	extra := conn.in.Buffered() > 0
	c.checker.Do(func(b *oracle.Checker) {
		if foreign {
			b.ForeignAnswer(now, req.ID)
		} else {
			b.AnswerReceived(now, req.ID, result.Verdict)
		}
		if extra {
			b.ExtraBytes(now, req.ID)
		}
	})
	if foreign {
		result.Verdict = oracle.Failed
	}
	conn.lastID = req.ID
	if answer.ConnectionClose() || req.Close || extra || foreign {
		conn.Close()
		return result
	}
	c.mu.Lock()
	c.idle = append(c.idle, conn)
	c.mu.Unlock()
	return result
}

// verdictOf maps the status of an answer to the checker's verdict.
func verdictOf(status int) oracle.Verdict {
	switch status {
	case fasthttp.StatusOK:
		return oracle.Served
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return oracle.Refused
	case fasthttp.StatusBadRequest:
		return oracle.Malformed
	}
	return oracle.Failed
}

// connection returns a random idle connection if reuse is set and one is usable, else a new one. It returns nil if no
// sidecar can be reached.
func (c *Client) connection(ctx context.Context, reuse bool) *conn {
	for reuse {
		c.mu.Lock()
		n := len(c.idle)
		if n == 0 {
			c.mu.Unlock()
			break
		}
		i := rand.IntN(n)
		conn := c.idle[i]
		c.idle[i] = c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		if c.usable(conn) {
			return conn
		}
		conn.Close()
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	for range maxDials {
		target := c.front.Pick()
		if target == nil {
			return nil
		}
		tcp, err := dialer.DialContext(ctx, "tcp", target.Address)
		if err == nil {
			return &conn{Conn: tcp, in: bufio.NewReader(tcp), target: target}
		}
	}
	return nil
}

// usable reports whether an idle connection is still open and has no unread bytes. Bytes after the last answer are
// reported as a violation by the sidecar.
func (c *Client) usable(idle *conn) bool {
	raw, err := idle.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	open, extra := false, false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open, extra = errors.Is(err, unix.EAGAIN), n > 0
		return true
	})
	if extra {
		c.checker.Do(func(b *oracle.Checker) { b.ExtraBytes(c.checker.Now(), idle.lastID) })
	}
	return err == nil && open
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, idle := range c.idle {
		idle.Close()
	}
	c.idle = nil
}

// encode returns the request as HTTP/1.1 text; remaining is the time left until its deadline.
func encode(req *Request, remaining time.Duration) []byte {
	method := "POST"
	if req.Effect == decide.Safe {
		method = "GET"
	}
	b := make([]byte, 0, 256+req.Body)
	add := func(parts ...string) {
		for _, p := range parts {
			b = append(b, p...)
		}
	}
	add(method, " /", req.Class, "/", req.ID, " HTTP/1.1\r\nHost: lab\r\nX-Txn: ", req.ID, "\r\nX-Remaining: ",
		strconv.FormatFloat(max(0, remaining.Seconds()), 'f', 6, 64), "\r\n")
	if req.Tenant != "" {
		add("X-Org: ", req.Tenant, "\r\n")
	}
	if req.Key != "" {
		add("Idempotency-Key: ", req.Key, "\r\n")
	}
	if req.Repeat {
		add("X-Resent: 1\r\n")
	}
	if req.Close {
		add("Connection: close\r\n")
	}
	if method == "POST" {
		add("Content-Length: ", strconv.Itoa(req.Body), "\r\n\r\n", strings.Repeat("x", req.Body))
		return b
	}
	add("\r\n")
	return b
}
