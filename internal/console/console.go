// Package console is the operators' way into a running sidecar: one line a
// connection, answered by one line (STATS: by the figures and a line EOF).
package console

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"heathgap/internal/env"
)

// Bounds of a console.
const (
	// Callers that are served at a time: some for each who watches, and descriptors of
	// these only. Beyond them, the one that has kept silent longest makes room.
	maxCalls = 8
	// A call must have come by then, and its answer be taken in as long again. Operators
	// type, and some callers take seconds; who never ends its line must not stay.
	callTimeout = 5 * time.Second
	// Bytes of a call's line: the longest word, a space, and an id of any length met.
	maxLine = 512
	// What may still be read behind a line that is too long, in time and bytes.
	discardTimeout = 500 * time.Millisecond
	maxDiscarded   = 64 << 10

	acceptRetryDelay = 20 * time.Millisecond // after a failed accept: descriptors may run out for a moment
)

// Operations are what a console can ask for. All may be called at any time.
type Operations interface {
	// Ready tells whether this process serves.
	Ready() bool
	// Metrics returns the figures, a line each.
	Metrics() []byte
	// Disable keeps everything from an endpoint until Enable; it returns when that binds.
	// It fails where the endpoint has never been listed.
	Disable(id string) error
	// Enable ends a ban, however often it was called for.
	Enable(id string) error
}

// Console serves operators' calls.
type Console struct {
	listener net.Listener
	env      env.Env
	ops      Operations
	log      zerolog.Logger

	mu    sync.Mutex
	calls []net.Conn // whose line has not come whole, the oldest first
}

// Open listens at an address and serves calls until Close.
func Open(address string, e env.Env, ops Operations, log zerolog.Logger) (*Console, error) {
	listener, err := e.Listen(address)
	if err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	c := &Console{listener: listener, env: e, ops: ops, log: log}
	e.Go("console", c.accept)
	return c, nil
}

// Address is where it listens.
func (c *Console) Address() string { return c.listener.Addr().String() }

// Close ends it. Calls whose line has come are still answered.
func (c *Console) Close() { c.listener.Close() }

func (c *Console) accept() {
	for {
		conn, err := c.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			c.env.Sleep(acceptRetryDelay)
			continue
		}
		c.addCall(conn)
		c.env.Go("call", func() { c.serve(conn) })
	}
}

// addCall books a call. Guards against callers that finish no call and hold all places:
// the oldest of them gives way.
func (c *Console) addCall(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.calls) >= maxCalls {
		c.calls[0].Close()
		c.calls = append(c.calls[:0], c.calls[1:]...)
	}
	c.calls = append(c.calls, conn)
}

// removeCall forgets a call whose line has come, or never will.
func (c *Console) removeCall(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = slices.DeleteFunc(c.calls, func(other net.Conn) bool { return other == conn })
}

func (c *Console) serve(conn net.Conn) {
	defer conn.Close()
	conn.SetDeadline(c.env.Now().Add(callTimeout))
	line, err := bufio.NewReaderSize(conn, maxLine).ReadSlice('\n')
	c.removeCall(conn)
	if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
		return // it never ended its line
	}
	conn.SetDeadline(c.env.Now().Add(callTimeout))
	conn.Write(c.answer(line, err))
	if tcp, ok := conn.(interface{ CloseWrite() error }); ok && err != nil {
		// Guards against a reset that takes the answer with it: what still comes is read.
		tcp.CloseWrite()
		conn.SetDeadline(c.env.Now().Add(discardTimeout))
		io.CopyN(io.Discard, conn, maxDiscarded)
	}
}

// errAllowedCalls is what a call must be.
var errAllowedCalls = errors.New("allowed are READY, STATS, DISABLE ID and ENABLE ID")

// answer is all that a call is answered with.
func (c *Console) answer(line []byte, err error) []byte {
	if err != nil {
		return refusalLine(fmt.Errorf("a line of %d bytes or more; %w", maxLine, errAllowedCalls))
	}
	words := strings.Fields(string(line))
	if len(words) == 0 {
		return refusalLine(fmt.Errorf("an empty line; %w", errAllowedCalls))
	}
	command, args := words[0], words[1:]
	change := map[string]func(string) error{"DISABLE": c.ops.Disable, "ENABLE": c.ops.Enable}[command]
	switch {
	case change != nil && len(args) == 1:
		if err := change(args[0]); err != nil {
			return refusalLine(err)
		}
		c.log.Info().Str("call", command).Str("endpoint", args[0]).Msg("console")
		return []byte("200 " + command + " done\n")
	case change != nil:
		return refusalLine(fmt.Errorf("%s takes one id, not %d", command, len(args)))
	case command != "READY" && command != "STATS":
		return refusalLine(fmt.Errorf("unknown call %.32q; %w", command, errAllowedCalls))
	case len(args) > 0:
		return refusalLine(fmt.Errorf("%s takes no argument", command))
	case command == "STATS":
		return append(append([]byte("200 figures\n"), c.ops.Metrics()...), "EOF\n"...)
	case !c.ops.Ready():
		return refusalLine(errors.New("not ready: this process does not serve yet, or is ending"))
	}
	return []byte("200 ready\n")
}

// refusalLine is a no, in one line whatever the reason holds.
func refusalLine(err error) []byte {
	return []byte("400 " + strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return '?'
		}
		return r
	}, err.Error()) + "\n")
}
