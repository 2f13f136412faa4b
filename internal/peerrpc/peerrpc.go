// Package peerrpc is how processes of a crew talk: HTTP/1.1 on the sidecar's own network code, with CBOR bodies. It has no
// encryption and no sign-in: a crew's addresses are loopback, or a closed network of the operators.
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

// Bounds.
const (
	// MaxMessage bounds a message in bytes: the keepers' snapshot with the longest history of the longest documents.
	MaxMessage = 16 << 20
	// maxConns are served at a time: each member has one, and members of a fleet that starts at once come a few times.
	maxConns   = 8192
	readTime   = 5 * time.Second  // for a message, once its first byte has come
	idleTime   = 70 * time.Second // above the longest lease: members renew more often
	dialTime   = time.Second
	closeTime  = 200 * time.Millisecond
	maxRefusal = 4096 // bytes of a refusal
)

// pathPrefix of all paths; the number is the version of what is said.
const pathPrefix = "/crew/1/"

// Message is what goes over the wire: whose it is, and what it says.
type Message struct {
	Cluster string          `cbor:"1,keyasint"` // another crew's is refused
	From    string          `cbor:"2,keyasint"`
	Body    cbor.RawMessage `cbor:"3,keyasint"`
}

// ErrRefused is that a peer understood a message and did not take it.
var ErrRefused = errors.New("refused")

// Handler answers messages of one kind. Its error is told to who asked.
type Handler func(from string, body []byte) (any, error)

// boundedDecoding bounds what a message may hold before memory is taken.
var boundedDecoding, _ = cbor.DecOptions{MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 16, MaxNestedLevels: 16}.DecMode()

// Decode reads a message's body.
func Decode(body []byte, into any) error { return boundedDecoding.Unmarshal(body, into) }

// Server answers peers.
type Server struct {
	cluster  string
	handlers map[string]Handler
	listener net.Listener
	server   *fasthttp.Server
	conns    atomic.Int64
	Refused  atomic.Int64 // connections that there was no room for
	BytesIn  atomic.Int64
	BytesOut atomic.Int64
}

// Listen opens an address; Serve begins to answer there.
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

type silentLogger struct{}

// Printf is fasthttp.Logger's.
func (silentLogger) Printf(string, ...any) {}

// Serve answers messages by their kinds until Close.
func (s *Server) Serve(environment env.Env, handlers map[string]Handler) {
	s.handlers = handlers
	environment.Go("peers", func() { s.server.Serve(s.listener) }) //nolint:errcheck // it ends with Close
}

// Address is where it listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close ends it, with the connections that it keeps; what is being answered has a moment to go.
func (s *Server) Close() {
	s.listener.Close()
	ctx, cancel := context.WithTimeout(context.Background(), closeTime)
	defer cancel()
	s.server.ShutdownWithContext(ctx) //nolint:errcheck // what does not end in time ends with the process
}

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

// Client calls one address, one message at a time, on a connection that it keeps. Its methods may be called by any
// goroutine; they wait for one another.
type Client struct {
	env           env.Env
	cluster, from string
	address       string

	mu   sync.Mutex
	link *httpwire.Link
}

// NewClient returns one that is not connected.
func NewClient(environment env.Env, cluster, from, address string) *Client {
	return &Client{env: environment, cluster: cluster, from: from, address: address}
}

// Address is where it calls.
func (c *Client) Address() string { return c.address }

// Close ends its connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLink()
}

func (c *Client) closeLink() {
	if c.link != nil {
		c.link.Close()
		c.link = nil
	}
}

// Call says one thing and reads the answer into a value, within a time. An error that is ErrRefused came from the peer;
// after any other one nobody knows whether the peer has heard it.
func (c *Client) Call(kind string, body, answer any, timeout time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	err := c.call(kind, body, answer, timeout)
	if err != nil && !errors.Is(err, ErrRefused) {
		c.closeLink()
	}
	return err
}

func (c *Client) call(kind string, body, answer any, timeout time.Duration) error {
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
		if c.link, err = httpwire.Dial(context.Background(), c.env, c.address, min(dialTime, timeout)); err != nil {
			return err
		}
	}
	var head bytes.Buffer
	fmt.Fprintf(&head, "POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n", pathPrefix, kind, c.address, len(encoded))
	head.Write(encoded)
	if complete, err := c.link.Send(head.Bytes(), deadline); !complete {
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
