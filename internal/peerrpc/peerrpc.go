// Package peerrpc implements the calls between the processes of a cluster: HTTP/1.1 POST requests with CBOR bodies. The client side uses
// package httpwire, the sidecar's own network code. There is no encryption and no authentication: a cluster's addresses must be loopback
// addresses, or in a closed network of the operators.
package peerrpc

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/valyala/fasthttp"

	"heathgap/internal/env"
	"heathgap/internal/httpwire"
)

// Limits and timeouts.
const (
	// MaxMessage bounds the size of a message in bytes. The largest message is the voters' snapshot with the longest history of the
	// longest documents.
	MaxMessage = 16 << 20
	// maxConns bounds the connections that are served at a time. A member has one to each voter that it has called, and with holdings
	// up to 16 to each peer; members of a fleet that starts all at once connect a few times.
	maxConns   = 8192
	readTime   = 5 * time.Second  // for reading a message, once its first byte has arrived, and for writing an answer
	idleTime   = 70 * time.Second // after which an idle connection is closed; above the longest lease, and members renew more often
	dialTime   = time.Second
	closeTime  = 200 * time.Millisecond // for pending answers when the server closes
	maxRefusal = 4096                   // bytes of a refusal's text that the client keeps
)

// pathPrefix is the prefix of all paths. The number is the version of the protocol.
const pathPrefix = "/crew/1/"

// Message is the body of a request.
type Message struct {
	Cluster string          `cbor:"1,keyasint"` // name of the sender's cluster; messages of other clusters are refused
	From    string          `cbor:"2,keyasint"` // name of the sender
	Body    cbor.RawMessage `cbor:"3,keyasint"`
}

// ErrRefused means that a peer has answered a message with a refusal.
var ErrRefused = errors.New("refused")

// Handler answers messages of one kind. It returns the answer, or an error, whose text is sent to the caller as a refusal.
type Handler func(from string, body []byte) (any, error)

// boundedDecoding limits the elements of a message, which is checked before memory is allocated for them.
var boundedDecoding, _ = cbor.DecOptions{MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 16, MaxNestedLevels: 16}.DecMode()

// Decode decodes a message's body into a value.
func Decode(body []byte, into any) error { return boundedDecoding.Unmarshal(body, into) }

// Server answers the messages of peers.
type Server struct {
	cluster  string
	handlers map[string]Handler
	listener net.Listener
	server   *fasthttp.Server
	conns    atomic.Int64
	Refused  atomic.Int64 // messages that were refused because there were too many connections
	BytesIn  atomic.Int64 // bytes of received request bodies
	BytesOut atomic.Int64 // bytes of sent answers, without refusals
}

// Listen returns a server that listens at an address for the messages of one cluster. It answers them once Serve is called.
func Listen(environment env.Env, address, cluster string) (*Server, error) {
	l, err := environment.Listen(address)
	if err != nil {
		return nil, fmt.Errorf("crew.address: %w", err)
	}
	s := &Server{cluster: cluster, listener: l}
	s.server = &fasthttp.Server{
		Handler: s.handle, Concurrency: 2 * maxConns, MaxRequestBodySize: MaxMessage, ReadTimeout: readTime,
		WriteTimeout: readTime, IdleTimeout: idleTime, NoDefaultServerHeader: true, NoDefaultDate: true,
		NoDefaultContentType: true, Logger: silentLogger{}, CloseOnShutdown: true,
		ConnState: func(_ net.Conn, state fasthttp.ConnState) {
			switch state {
			case fasthttp.StateNew:
				s.conns.Add(1)
			case fasthttp.StateClosed, fasthttp.StateHijacked:
				s.conns.Add(-1)
			}
		},
	}
	return s, nil
}

// silentLogger is a fasthttp.Logger that drops all messages.
type silentLogger struct{}

// Printf implements fasthttp.Logger.
func (silentLogger) Printf(string, ...any) {}

// Serve starts to answer messages, each with the handler of its kind, until Close. It returns at once and must be called once.
func (s *Server) Serve(environment env.Env, handlers map[string]Handler) {
	s.handlers = handlers
	environment.Go("peers", func() { s.server.Serve(s.listener) }) //nolint:errcheck // it returns when Close is called
}

// Address returns the address at which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the server and closes its connections. Answers that are being sent have closeTime to finish.
func (s *Server) Close() {
	s.listener.Close()
	ctx, cancel := context.WithTimeout(context.Background(), closeTime)
	defer cancel()
	s.server.ShutdownWithContext(ctx) //nolint:errcheck // connections that do not close in time close with the process
}

// handle answers one HTTP request. The texts of its errors are sent to peers, which may run another build: they must not change.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if s.conns.Load() > maxConns {
		s.Refused.Add(1)
		ctx.SetConnectionClose()
		ctx.Error("too many connections", fasthttp.StatusServiceUnavailable)
		return
	}
	s.BytesIn.Add(int64(len(ctx.Request.Body())))
	kind, ok := strings.CutPrefix(string(ctx.Path()), pathPrefix)
	handler := s.handlers[kind]
	if !ok || handler == nil || !ctx.IsPost() {
		ctx.Error(fmt.Sprintf("%s %.100s: unknown; allowed: POST %s... of a heathgap of this version", ctx.Method(), ctx.Path(), pathPrefix),
			fasthttp.StatusNotFound)
		return
	}
	var m Message
	if err := Decode(ctx.Request.Body(), &m); err != nil {
		ctx.Error(fmt.Sprintf("%s: malformed: %v", kind, err), fasthttp.StatusBadRequest)
		return
	}
	if m.Cluster != s.cluster {
		ctx.Error(fmt.Sprintf("%s: for the crew %.100q; this is one of %q", kind, m.Cluster, s.cluster), fasthttp.StatusForbidden)
		return
	}
	answer, err := handler(m.From, m.Body)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusConflict)
		return
	}
	encoded, err := cbor.Marshal(answer)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	s.BytesOut.Add(int64(len(encoded)))
	ctx.SetBody(encoded)
}

// Client sends messages to one address, one at a time, on a connection that it keeps open. It is safe for concurrent use; concurrent calls
// wait for one another.
type Client struct {
	env           env.Env
	cluster, from string
	address       string

	mu   sync.Mutex
	link *httpwire.Link // nil without a connection
}

// NewClient returns a client that is not connected. cluster and from are the names of the cluster and of the sender; Call sends them with
// each message.
func NewClient(environment env.Env, cluster, from, address string) *Client {
	return &Client{env: environment, cluster: cluster, from: from, address: address}
}

// Address returns the address that the client calls.
func (c *Client) Address() string { return c.address }

// Close closes the connection. A later Call opens a new one.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLink()
}

// closeLink closes the connection, if there is one. The lock is held.
func (c *Client) closeLink() {
	if c.link != nil {
		c.link.Close()
		c.link = nil
	}
}

// Call sends a message of one kind and decodes the answer into a value; a nil answer means that the caller does not need it. An error that
// wraps ErrRefused came from the peer. After any other error the peer may have received the message or not. The timeout includes opening a
// connection, but not the wait for other calls of this client.
func (c *Client) Call(kind string, body, answer any, timeout time.Duration) error {
	return c.CallContext(context.Background(), kind, body, answer, timeout)
}

// CallContext is Call, but also fails when the context ends.
func (c *Client) CallContext(ctx context.Context, kind string, body, answer any, timeout time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	err := c.call(ctx, kind, body, answer, timeout)
	if err != nil && !errors.Is(err, ErrRefused) {
		c.closeLink()
	}
	return err
}

// call is CallContext without the lock. It leaves it to CallContext to close a broken connection.
func (c *Client) call(ctx context.Context, kind string, body, answer any, timeout time.Duration) error {
	raw, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	encoded, err := cbor.Marshal(Message{c.cluster, c.from, raw})
	if err != nil {
		return err
	}
	deadline := c.env.Now().Add(timeout)
	if c.link != nil && !c.link.Usable() {
		c.closeLink()
	}
	if c.link == nil {
		if c.link, err = httpwire.Dial(ctx, c.env, c.address, min(dialTime, timeout)); err != nil {
			return err
		}
	}
	stopWatching := context.AfterFunc(ctx, c.link.Close)
	defer stopWatching()
	var head bytes.Buffer
	fmt.Fprintf(&head, "POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n", pathPrefix, kind, c.address, len(encoded))
	head.Write(encoded)
	if complete, err := c.link.Send(deadline, head.Bytes()); !complete {
		return fmt.Errorf("%s: writing: %w", c.address, err)
	}
	var r fasthttp.Response
	if err := r.ReadLimitBody(c.link.Reader(), MaxMessage); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return fmt.Errorf("%s: answer: %w", c.address, err)
	}
	if r.ConnectionClose() {
		c.closeLink()
	}
	if r.StatusCode() != fasthttp.StatusOK {
		reason := r.Body()
		return fmt.Errorf("%w by %s: %s", ErrRefused, c.address, reason[:min(len(reason), maxRefusal)])
	}
	if answer == nil {
		return nil
	}
	return Decode(r.Body(), answer)
}
