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

// Target is one start of a sidecar. A sidecar that starts again is another target
// of the same name.
type Target struct {
	Name, Address string
	Stopped       atomic.Bool // the lab has killed it: what it held is cut, not lost
}

// Front deals out new connections. Its choice may be a sidecar that has died.
type Front interface {
	Pick() *Target // nil if there is none
}

// SingleTarget is a front with one sidecar.
type SingleTarget struct{ target atomic.Pointer[Target] }

// Set puts a target in place.
func (o *SingleTarget) Set(t *Target) { o.target.Store(t) }

// Pick returns it.
func (o *SingleTarget) Pick() *Target { return o.target.Load() }

// Times of clients.
const (
	dialTime  = time.Second
	writeTime = 5 * time.Second
	maxBody   = 4 << 20
	redials   = 3 // a client whose connection is refused tries the front's next choices
)

// Client sends requests over connections that it keeps.
type Client struct {
	book  *oracle.Shared
	front Front
	grace time.Duration // waited past a request's time for its answer

	OnServed func(endpoint string) // is told of each served answer, if it is there; set before the first Send

	mu   sync.Mutex
	idle []*conn
}

// NewClient returns a client; it waits so much longer than the rules allow before
// it holds a missing answer against a sidecar.
func NewClient(book *oracle.Shared, front Front, grace time.Duration) *Client {
	return &Client{book: book, front: front, grace: grace}
}

// conn is a connection to a sidecar.
type conn struct {
	net.Conn
	in     *bufio.Reader
	target *Target
	lastID string // of the request whose answer came last
}

// Request is one request to be sent.
type Request struct {
	ID, Class, Tenant, Key string
	Tier                   int
	Effect                 decide.Effect
	Deadline               time.Duration // when its time is up
	Leave                  time.Duration // when the client leaves before that; 0 for never
	Repeat                 bool
	Body                   int  // bytes
	Close                  bool // the connection ends with it
}

// Ending a try ended.
type Ending uint8

// The ends of a try.
const (
	Answered       Ending = iota
	NoAnswer              // lost
	ClientLeft            // the client left
	SidecarStopped        // the lab stopped the sidecar
	NotConnected          // no sidecar took the connection
)

// Result is what came of a try.
type Result struct {
	Ending     Ending
	Verdict    oracle.Verdict
	RetryAfter time.Duration
}

// Send sends a request once. If its connection ends as the request crosses that,
// it is sent once more on a new one.
func (c *Client) Send(ctx context.Context, a Request) Result {
	for kept := true; ; kept = false {
		conn := c.take(ctx, kept)
		if conn == nil {
			return Result{Ending: NotConnected}
		}
		again, result := c.exchange(ctx, conn, a)
		if !again {
			return result
		}
	}
}

// exchange writes a request and reads its answer; again tells that nothing came of
// it and that it may be sent on a new connection.
func (c *Client) exchange(ctx context.Context, conn *conn, a Request) (again bool, result Result) {
	used := conn.lastID != ""
	c.book.Do(func(b *oracle.Checker) {
		b.RequestBegun(oracle.Request{
			ID: a.ID, Sidecar: conn.target.Name, Tier: a.Tier, Effect: a.Effect, Key: a.Key, Deadline: a.Deadline,
		})
	})
	conn.SetWriteDeadline(time.Now().Add(writeTime))
	if _, err := conn.Write(encode(&a, a.Deadline-c.book.Now())); err != nil {
		conn.Close()
		again := c.unwritten(a.ID)
		return again && used, Result{Ending: NotConnected}
	}
	c.book.Do(func(b *oracle.Checker) { b.RequestWritten(a.ID) })
	until, leaves := a.Deadline+c.grace, a.Leave > 0 && a.Leave < a.Deadline
	if leaves {
		until = a.Leave
	}
	conn.SetReadDeadline(c.book.Began().Add(until))
	stop := context.AfterFunc(ctx, func() { conn.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := conn.in.Peek(1); err != nil {
		if used && !errors.Is(err, os.ErrDeadlineExceeded) && !conn.target.Stopped.Load() && c.unwritten(a.ID) {
			conn.Close()
			return true, Result{}
		}
		return false, c.broken(conn, a.ID, err, leaves || ctx.Err() != nil)
	}
	var answer fasthttp.Response
	if err := answer.ReadLimitBody(conn.in, maxBody); err != nil {
		return false, c.broken(conn, a.ID, err, leaves || ctx.Err() != nil)
	}
	return false, c.answered(conn, &a, &answer)
}

func (c *Client) unwritten(id string) (again bool) {
	c.book.Do(func(b *oracle.Checker) { again = b.RetractRequest(id) })
	return again
}

// broken books a request whose connection has ended, or whose time has.
func (c *Client) broken(conn *conn, id string, err error, leaves bool) Result {
	now := c.book.Now()
	timeout := errors.Is(err, os.ErrDeadlineExceeded)
	stopped := conn.target.Stopped.Load()
	conn.Close()
	result := Result{Ending: NoAnswer}
	c.book.Do(func(b *oracle.Checker) {
		switch {
		case stopped:
			result.Ending = SidecarStopped
			b.RequestInterrupted(now, id)
		case timeout && leaves:
			result.Ending = ClientLeft
			b.ClientLeft(now, id)
		default:
			b.Unanswered(now, id)
		}
	})
	return result
}

// answered books a whole answer and keeps the connection.
func (c *Client) answered(conn *conn, a *Request, answer *fasthttp.Response) Result {
	now := c.book.Now()
	result := Result{Ending: Answered, Verdict: verdictOf(answer.StatusCode())}
	if s, err := strconv.ParseFloat(string(answer.Header.Peek(fasthttp.HeaderRetryAfter)), 64); err == nil && s > 0 {
		result.RetryAfter = time.Duration(s * float64(time.Second))
	}
	foreign := result.Verdict == oracle.Served && !strings.HasPrefix(string(answer.Body()), a.ID+" ")
	if c.OnServed != nil && result.Verdict == oracle.Served && !foreign {
		_, by, _ := strings.Cut(string(answer.Body()), " ")
		by, _, _ = strings.Cut(by, "\n")
		c.OnServed(by)
	}
	surplus := conn.in.Buffered() > 0
	c.book.Do(func(b *oracle.Checker) {
		if foreign {
			b.ForeignAnswer(now, a.ID)
		} else {
			b.AnswerReceived(now, a.ID, result.Verdict)
		}
		if surplus {
			b.ExtraBytes(now, a.ID)
		}
	})
	if foreign {
		result.Verdict = oracle.Failed
	}
	conn.lastID = a.ID
	if answer.ConnectionClose() || a.Close || surplus || foreign {
		conn.Close()
		return result
	}
	c.mu.Lock()
	c.idle = append(c.idle, conn)
	c.mu.Unlock()
	return result
}

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

// take returns an idle connection, any of them, or a new one; nil if none comes up.
func (c *Client) take(ctx context.Context, kept bool) *conn {
	for kept {
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
		if c.fresh(conn) {
			return conn
		}
		conn.Close()
	}
	dialer := net.Dialer{Timeout: dialTime}
	for range redials {
		target := c.front.Pick()
		if target == nil {
			return nil
		}
		plain, err := dialer.DialContext(ctx, "tcp", target.Address)
		if err == nil {
			return &conn{Conn: plain, in: bufio.NewReader(plain), target: target}
		}
	}
	return nil
}

// fresh looks whether an idle connection has ended, or has brought more than its
// answer, which is held against its sidecar.
func (c *Client) fresh(k *conn) bool {
	raw, err := k.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	silent, surplus := false, false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		silent, surplus = errors.Is(err, unix.EAGAIN), n > 0
		return true
	})
	if surplus {
		c.book.Do(func(b *oracle.Checker) { b.ExtraBytes(c.book.Now(), k.lastID) })
	}
	return err == nil && silent
}

// Close ends all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.idle {
		k.Close()
	}
	c.idle = nil
}

// encode writes a request, with what is left of its time.
func encode(a *Request, left time.Duration) []byte {
	method := "POST"
	if a.Effect == decide.Safe {
		method = "GET"
	}
	b := make([]byte, 0, 256+a.Body)
	add := func(parts ...string) {
		for _, p := range parts {
			b = append(b, p...)
		}
	}
	add(method, " /", a.Class, "/", a.ID, " HTTP/1.1\r\nHost: lab\r\nX-Txn: ", a.ID, "\r\nX-Remaining: ",
		strconv.FormatFloat(max(0, left.Seconds()), 'f', 6, 64), "\r\n")
	if a.Tenant != "" {
		add("X-Org: ", a.Tenant, "\r\n")
	}
	if a.Key != "" {
		add("Idempotency-Key: ", a.Key, "\r\n")
	}
	if a.Repeat {
		add("X-Resent: 1\r\n")
	}
	if a.Close {
		add("Connection: close\r\n")
	}
	if method == "POST" {
		add("Content-Length: ", strconv.Itoa(a.Body), "\r\n\r\n", strings.Repeat("x", a.Body))
		return b
	}
	add("\r\n")
	return b
}
