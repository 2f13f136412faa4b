package httpwire

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"math"
	"os"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"heathgap/decide"
	"heathgap/internal/env"
)

// Verdict is the kind of answer that a request gets in the end.
type Verdict uint8

// The verdicts.
const (
	Served    Verdict = iota
	Refused           // the request has not run: it is safe to retry
	Failed            // the request may have taken effect
	Malformed         // it was not a valid request; nothing was run
	Abandoned         // the caller has disconnected: nobody reads an answer
)

// Answer is the final answer to a request.
type Answer struct {
	Verdict    Verdict
	Body       []byte        // of the endpoint's answer, unchanged; nil for a long one
	Type       string        // Content-Type of the body
	Encoding   string        // Content-Encoding of the body
	RetryAfter time.Duration // how long a refused caller should wait before a retry; 0 for no advice
	Reason     string        // what is wrong with a malformed request
	CloseAfter bool          // the caller's connection is closed after it
	MayHaveRun bool          // the request may have run at an endpoint; meaningful only if it has a claim on its key
	Memory     *Reservation  // of the body, to be released once the answer is written; nil without one
	Stream     *AnswerStream // a long body; nil if Body is complete
}

// EncodeAnswer encodes the answer for a caller.
func EncodeAnswer(a *Answer, m *fasthttp.Response) {
	switch a.Verdict {
	case Served:
		m.SetStatusCode(fasthttp.StatusOK)
		if a.Type != "" {
			m.Header.SetContentType(a.Type)
		}
		if a.Encoding != "" {
			m.Header.SetContentEncoding(a.Encoding)
		}
		if a.Stream != nil {
			// In chunks, so that each piece is sent as it comes and a truncated answer shows.
			m.ImmediateHeaderFlush = true
			size := lengthChunked
			if a.Stream.WithLength {
				size = a.Stream.Length
			}
			m.SetBodyStream(a.Stream, size)
			return
		}
		m.SetBodyRaw(a.Body)
	case Refused:
		m.SetStatusCode(fasthttp.StatusServiceUnavailable)
		if a.RetryAfter > 0 {
			m.Header.SetBytesV(fasthttp.HeaderRetryAfter, appendSeconds(nil, a.RetryAfter))
		}
		m.SetBodyString("refused: trying again is harmless\n")
	case Malformed:
		m.SetStatusCode(fasthttp.StatusBadRequest)
		m.SetBodyString(a.Reason + "\n")
	default:
		m.SetStatusCode(fasthttp.StatusBadGateway)
		m.SetBodyString("failed\n")
	}
}

// Reply is an endpoint's answer to an attempt.
type Reply struct {
	Outcome  decide.Outcome // Served, ServerError or Rejected
	Status   int
	Body     []byte
	Type     string
	Encoding string
	Close    bool          // the endpoint closes the connection
	Memory   *Reservation  // of the body; nil without one
	Stream   *AnswerStream // a long body; nil if Body is complete
}

// DecodeLoad parses a load report: name=value pairs, separated by commas, in one line. Names that the decision module
// does not use and invalid values are skipped: a bad report is never a reason to reject an answer.
func DecodeLoad(text []byte) decide.Load {
	load := decide.Load{Outstanding: -1, Utilization: -1}
	for part := range bytes.SplitSeq(text, []byte(",")) {
		name, value, _ := bytes.Cut(bytes.TrimSpace(part), []byte("="))
		v, err := strconv.ParseFloat(string(value), 64)
		if err != nil || !(v >= 0) || math.IsInf(v, 0) {
			continue
		}
		switch string(name) {
		case "outstanding":
			load.Outstanding = v
		case "utilization":
			load.Utilization = v
		}
	}
	return load
}

// EncodeProbe encodes a probe, a request for an endpoint's load report.
func EncodeProbe() []byte {
	return []byte("GET " + pathLoad + " HTTP/1.1\r\nHost: " + serviceHost + "\r\n\r\n")
}

// Limits for reading an answer.
const (
	initialBodySize   = 4 << 10 // size of the first buffer in bytes, reserved before any of the body has come: most bodies are smaller
	maxInterim        = 16      // interim answers (1xx) before the final one
	errTooLong        = bodyError("body too long")
	errNoMemory       = bodyError("no room left for the body in the memory budget for answers")
	errTooManyInterim = bodyError("too many interim answers")
)

type bodyError string

func (e bodyError) Error() string { return string(e) }

// errNoLength is the error for an answer that ends only with its connection and whose head does not say so by
// Connection: close. Without that, a truncated answer would look complete.
var errNoLength = errors.New("answer without a length")

// Values of fasthttp's ContentLength for bodies without a Content-Length: in chunks, or up to the connection's end.
const lengthChunked, lengthToEnd = -1, -2

// beginningTime is how long the first bytes of a long answer are held back to wait for more of it. Most failing answers
// fail within that time, and can then be retried at another endpoint.
const beginningTime = 150 * time.Millisecond

// Receive reads the answer to a request that was sent: completely, or the beginning of a long one.
func (l *Link) Receive(budget *MemoryBudget, environment env.Env) (Reply, error) {
	reply, err := decodeReply(l.in, budget, &beginningTimer{link: l, env: environment})
	if reply.Stream != nil {
		reply.Stream.link, reply.Stream.env = l, environment
	}
	return reply, err
}

// DecodeReply reads an endpoint's answer from a plain reader, without a time limit for the beginning of a long answer.
func DecodeReply(r *bufio.Reader, budget *MemoryBudget) (Reply, error) {
	return decodeReply(r, budget, nil)
}

// beginningTimer limits how long the beginning of an answer is collected.
type beginningTimer struct {
	link     *Link
	env      env.Env
	deadline time.Time // zero until the first bytes have come
}

// read reads the next bytes of a body and reports whether they came in time.
func (p *beginningTimer) read(body io.Reader, b []byte) (n int, inTime bool, err error) {
	if p.deadline.IsZero() {
		p.deadline = p.env.Now().Add(beginningTime)
	}
	if !p.deadline.Before(p.link.deadline) {
		n, err = body.Read(b)
		return n, true, err
	}
	p.link.conn.SetReadDeadline(p.deadline)
	n, err = body.Read(b)
	p.link.conn.SetReadDeadline(p.link.deadline)
	return n, !errors.Is(err, os.ErrDeadlineExceeded), err
}

// decodeReply reads an answer. It reserves the memory of the body in the budget.
func decodeReply(r *bufio.Reader, budget *MemoryBudget, timer *beginningTimer) (Reply, error) {
	m := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(m)
	body, err := readHead(m, r)
	if err != nil {
		return Reply{}, err
	}
	h := &m.Header
	status := h.StatusCode()
	reply := Reply{
		Outcome:  outcomeOf(status, string(h.Peek(headerRejected)) == "1"),
		Status:   status,
		Type:     string(h.ContentType()),
		Encoding: string(h.ContentEncoding()),
		Close:    h.ConnectionClose(),
	}
	length := h.ContentLength()
	if length > MaxAnswer {
		return Reply{}, errTooLong
	}
	if body == nil {
		return reply, nil
	}
	memory := &Reservation{budget: budget}
	beginning, complete, err := readBeginning(body, length, memory, timer)
	reply.Body, reply.Memory = beginning, memory
	switch {
	case err != nil:
		memory.Release()
		return Reply{}, err
	case !complete && reply.Outcome != decide.Served: // the status alone decides; the rest of the body is not needed
		reply.Close = true
	case !complete:
		reply.Body = nil
		reply.Stream = &AnswerStream{Length: length, beginning: beginning, body: body, memory: memory}
	}
	return reply, nil
}

// readHead reads a head, skipping interim ones, and returns the reader of the body that follows. That reader returns
// io.EOF only at the end of the body. It is nil if there is no body.
func readHead(m *fasthttp.Response, r *bufio.Reader) (io.Reader, error) {
	m.Header.SetNoDefaultContentType(true)
	closes := false
	for ahead := 0; ; ahead++ {
		if ahead > maxInterim {
			return nil, errTooManyInterim
		}
		closes = headSaysClose(r)
		if err := m.Header.Read(r); err != nil {
			return nil, err
		}
		if s := m.Header.StatusCode(); s < 100 || s > 199 {
			break
		}
	}
	if s := m.Header.StatusCode(); s == fasthttp.StatusNoContent || s == fasthttp.StatusNotModified {
		return nil, nil // these statuses never have a body
	}
	switch length := m.Header.ContentLength(); {
	case length == 0:
		return nil, nil
	case length == lengthChunked:
		return &chunkedBody{r: r}, nil
	case length != lengthToEnd:
		return &fixedLengthBody{r: r, remaining: length}, nil
	case closes:
		return r, nil
	}
	return nil, errNoLength
}

// headSaysClose reports whether the next head itself says that the connection closes after its answer. fasthttp reports
// that for all heads without a length.
func headSaysClose(r *bufio.Reader) bool {
	var head []byte
	for n, end := 1, -1; end < 0; n = len(head) + 1 {
		var err error
		if head, err = r.Peek(max(n, r.Buffered())); err != nil {
			return false
		}
		if end = bytes.Index(head, []byte("\r\n\r\n")); end >= 0 {
			head = head[:end]
		}
	}
	if bytes.HasPrefix(head, []byte("HTTP/1.0")) {
		return true
	}
	for line := range bytes.SplitSeq(head, []byte("\r\n")) { // runs for each answer: it must not allocate
		name, value, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(name, []byte("Connection")) && bytes.EqualFold(bytes.TrimSpace(value), []byte("close")) {
			return true
		}
	}
	return false
}

// readBeginning reads a body of the given length (below 0 if unknown): all of it if it is at most MaxBuffered bytes
// long, else its beginning. It reserves memory only as bytes come: guards against heads that announce more than ever
// comes. Where there is no memory for more of a long body, its beginning is what has come. The reserved amount is the capacity of
// the returned slice, also with an error.
func readBeginning(r io.Reader, length int, memory *Reservation, timer *beginningTimer) (body []byte, complete bool, err error) {
	mayBeLong := length < 0 || length > MaxBuffered
	for {
		if len(body) >= MaxBuffered && length != len(body) {
			return body, false, nil
		}
		if len(body) == cap(body) {
			more := min(max(initialBodySize, cap(body)), MaxBuffered-cap(body))
			if length > 0 {
				more = min(more, length-len(body))
			}
			switch short := !memory.Grow(more); {
			case short && len(body) > 0 && mayBeLong:
				return body, false, nil
			case short:
				return body, false, errNoMemory
			}
			body = bodyBuffers.grow(body, cap(body)+more)
		}
		n, inTime, err := 0, true, error(nil)
		if len(body) > 0 && mayBeLong && timer != nil {
			n, inTime, err = timer.read(r, body[len(body):cap(body)])
		} else {
			n, err = r.Read(body[len(body):cap(body)])
		}
		body = body[:len(body)+n]
		switch {
		case err == io.EOF:
			return body, true, nil
		case !inTime:
			return body, false, nil
		case err != nil:
			return body, false, err
		}
	}
}

// readComplete reads a complete answer whose body is at most limit bytes long and returns the body.
func readComplete(m *fasthttp.Response, r *bufio.Reader, limit int) ([]byte, error) {
	body, err := readHead(m, r)
	if err != nil || body == nil {
		return nil, err
	}
	if m.Header.ContentLength() > limit {
		return nil, errTooLong
	}
	text, err := io.ReadAll(io.LimitReader(body, int64(limit)+1))
	if err == nil && len(text) > limit {
		err = errTooLong
	}
	return text, err
}

// outcomeOf maps a status to an outcome. An endpoint that marked an answer as rejected has never run the request; after
// any other failure it may have run.
func outcomeOf(status int, rejected bool) decide.Outcome {
	switch {
	case status == fasthttp.StatusOK:
		return decide.Served
	case rejected && (status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusGatewayTimeout):
		return decide.Rejected
	}
	return decide.ServerError
}
