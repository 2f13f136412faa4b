// Package console lets operators control a running sidecar over TCP: each connection carries one call of one line and
// gets an answer of one line. STATS is followed by the metrics and a line EOF.
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

// Limits of the console.
const (
	// Calls that may wait for their line at the same time: enough for several operators, and a limit for the
	// descriptors that they take. A further call closes the one that has waited longest.
	maxCalls = 8
	// Time for a call's line to arrive, and again for its answer to be read. Operators type, and some callers take
	// seconds; a caller that never ends its line must not stay.
	callTimeout = 5 * time.Second
	// Bytes of a call's line: the longest command, a space, and an ID of any length seen so far.
	maxLine = 512
	// How much is read and discarded after a line that is too long, in time and in bytes.
	discardTimeout = 500 * time.Millisecond
	maxDiscarded   = 64 << 10

	acceptRetryDelay = 20 * time.Millisecond // after a failed accept: the process may be out of descriptors for a moment
)

// Operations are what a console can request. All methods may be called at any time.
type Operations interface {
	// Ready reports whether this process serves requests.
	Ready() bool
	// Metrics returns all metrics, one per line.
	Metrics() []byte
	// Disable bans an endpoint until Enable: nothing is sent to it. It returns once the ban is in effect, and fails if
	// the endpoint has never been listed.
	Disable(id string) error
	// Enable ends a ban, however often Disable was called.
	Enable(id string) error
}

// Console serves operators' calls.
type Console struct {
	listener net.Listener
	env      env.Env
	ops      Operations
	log      zerolog.Logger

	mu    sync.Mutex
	calls []net.Conn // connections whose line is not complete, the oldest first
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

// Address returns the address that the console listens on.
func (c *Console) Address() string { return c.listener.Addr().String() }

// Close stops listening. Calls whose line has arrived are still answered.
func (c *Console) Close() { c.listener.Close() }

// accept serves each connection in a goroutine of its own until the listener is closed.
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

// addCall records a connection whose line is not complete. Guards against callers that complete no call and take all
// places: the oldest is closed to make room.
func (c *Console) addCall(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.calls) >= maxCalls {
		c.calls[0].Close()
		c.calls = append(c.calls[:0], c.calls[1:]...)
	}
	c.calls = append(c.calls, conn)
}

// removeCall forgets a connection whose line has arrived or will not arrive any more.
func (c *Console) removeCall(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = slices.DeleteFunc(c.calls, func(other net.Conn) bool { return other == conn })
}

// serve reads the one line of a call and answers it.
func (c *Console) serve(conn net.Conn) {
	defer conn.Close()
	conn.SetDeadline(c.env.Now().Add(callTimeout))
	line, err := bufio.NewReaderSize(conn, maxLine).ReadSlice('\n')
	c.removeCall(conn)
	if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
		return // the line did not end in time, or the connection was closed
	}
	conn.SetDeadline(c.env.Now().Add(callTimeout))
	conn.Write(c.answer(line, err))
	if tcp, ok := conn.(interface{ CloseWrite() error }); ok && err != nil {
		// Guards against a TCP reset, which can discard the answer at the caller: read what still arrives.
		tcp.CloseWrite()
		conn.SetDeadline(c.env.Now().Add(discardTimeout))
		io.CopyN(io.Discard, conn, maxDiscarded)
	}
}

// errAllowedCalls lists the calls that are allowed.
var errAllowedCalls = errors.New("allowed are READY, STATS, DISABLE ID and ENABLE ID")

// answer carries out a call and returns its answer. The error is that of reading the line.
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

// refusalLine returns the answer to a call that failed: one line of printable ASCII, whatever the error contains.
func refusalLine(err error) []byte {
	return []byte("400 " + strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return '?'
		}
		return r
	}, err.Error()) + "\n")
}
