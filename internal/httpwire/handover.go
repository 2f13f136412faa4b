package httpwire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"syscall"

	"heathgap/internal/env"
)

// errHandedOver ends the writing of a response that another process continues.
var errHandedOver = errors.New("another process goes on with the answer")

// errNotHandedOver is the error for an answer that no other process could go on with.
var errNotHandedOver = errors.New("it could not be handed over")

// HandOverFunc hands a long answer over to another process: the state from which that continues, as JSON, and the
// connections of the caller and the endpoint.
type HandOverFunc func(state []byte, caller, endpoint syscall.Conn) error

// HandOver requests that the answer be handed over to another process at the next piece. It may be called at any time.
func (a *AnswerStream) HandOver(handOver HandOverFunc) {
	a.handOverFunc.Store(&handOver)
	a.link.conn.SetReadDeadline(pastDeadline)
	if to := a.caller.Load(); to != nil {
		to.detach()
	}
}

// AnswerHandover is the state with which another process continues a long answer. It is sent as JSON, possibly to
// another version of the program: its field names are fixed.
type AnswerHandover struct {
	Class    string
	Unsent   []byte // read from the endpoint, but not yet written to the caller
	Buffered []byte // read from the endpoint's connection, but not yet parsed as chunks
	Left     int    // missing bytes of the body, or of the current chunk; below 0 if the body lasts to the connection's end
	Chunked  bool
	Behind   bool              // all bytes of a chunk have come, but not yet its line end
	Total    int64             // bytes of the body so far
	Deadline *HandoverDeadline `json:",omitempty"` // nil for none, or from a version without it
}

// setChunked records the position in a body in chunks. The other process may be of a version that has no position within the
// trailer: it gets the line of the last chunk once more, and so begins at the trailer's present line.
func (h *AnswerHandover) setChunked(b *chunkedBody) {
	h.Chunked, h.Left = true, 0
	switch b.position {
	case inChunk:
		h.Left = b.remaining
	case atChunkEnd:
		h.Behind = true
	case inTrailer:
		h.Buffered = append([]byte(lastChunkLine), h.Buffered...)
	}
}

// chunked returns the body in chunks that another process has begun to read.
func (h *AnswerHandover) chunked(in *bufio.Reader) *chunkedBody {
	switch {
	case h.Left > 0:
		return &chunkedBody{r: in, position: inChunk, remaining: h.Left}
	case h.Behind:
		return &chunkedBody{r: in, position: atChunkEnd}
	}
	return &chunkedBody{r: in}
}

// tryHandOver hands the answer over and reports whether it did.
func (a *AnswerStream) tryHandOver(handOver HandOverFunc, total int64) bool {
	conn := a.caller.Load()
	if a.WithLength {
		return false
	}
	handover := AnswerHandover{Class: a.Class, Unsent: conn.unsentBytes(), Left: -1, Total: total, Deadline: a.deadline.Load().forHandover(a.env.Now())}
	handover.Buffered, _ = a.link.in.Peek(a.link.in.Buffered())
	switch b := a.body.(type) {
	case *fixedLengthBody:
		handover.Left = b.remaining
	case *chunkedBody:
		handover.setChunked(b)
	}
	state, err := json.Marshal(handover)
	caller, ok := conn.Conn.(syscall.Conn)
	endpoint, ok2 := a.link.conn.(syscall.Conn)
	if err != nil || !ok || !ok2 || handOver(state, caller, endpoint) != nil {
		return false
	}
	conn.markHandedOver()
	return true
}

// ResumeAnswer continues an answer that another process has begun to stream: it writes the rest to the caller and closes
// both connections.
func ResumeAnswer(handover *AnswerHandover, caller, endpoint net.Conn, environment env.Env) AnswerEnd {
	defer caller.Close()
	defer endpoint.Close()
	in := bufio.NewReaderSize(io.MultiReader(bytes.NewReader(handover.Buffered), endpoint), MaxHead)
	var body io.Reader = in
	length := -1
	switch {
	case handover.Chunked:
		body = handover.chunked(in)
	case handover.Left >= 0:
		body = &fixedLengthBody{r: in, remaining: handover.Left}
		length = int(handover.Total) + handover.Left
	}
	deadline := handover.Deadline.from(environment.Now())
	out := &Link{conn: caller}
	if out.writePiece(handover.Unsent, false, false, environment.Now().Add(pieceStall)) != nil {
		return AnswerCallerGone
	}
	buf := pieceBuffers.Get().(*[pieceSize]byte)
	defer pieceBuffers.Put(buf)
	for total := handover.Total; ; {
		now := environment.Now()
		endpoint.SetReadDeadline(now.Add(pieceStall))
		if until, bound := deadline.forPiece(length, total, now); bound && until.Before(now.Add(pieceStall)) {
			endpoint.SetReadDeadline(until)
		}
		n, err := body.Read(buf[:])
		if total += int64(n); total > MaxAnswer || err != nil && err != io.EOF {
			return AnswerBrokenOff
		}
		if out.writePiece(buf[:n], true, err == io.EOF, environment.Now().Add(pieceStall)) != nil {
			return AnswerCallerGone
		}
		if err == io.EOF {
			return AnswerComplete
		}
	}
}
