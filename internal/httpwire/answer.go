package httpwire

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"io"
	"math"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"heathgap/decide"
	"heathgap/internal/env"
)

// Verdict is how a request ends for its caller.
type Verdict uint8

// The verdicts.
const (
	Served    Verdict = iota
	Refused           // trying again is harmless
	Failed            // no promise about its effect
	Malformed         // it was no request; nothing came of it
	Abandoned         // the caller has gone: nobody reads an answer
)

// Answer is the final answer to a request.
type Answer struct {
	Verdict    Verdict
	Body       []byte        // of an endpoint's answer, unchanged
	Type       string        // of the body's content
	Encoding   string        // of the body's content
	RetryAfter time.Duration // a refused caller should stay away so long; 0 for no advice
	Reason     string        // what is wrong with a malformed request
	CloseAfter bool          // the caller's connection ends with it
	MayHaveRun bool          // the request may have run at an endpoint
	Reserved   int           // of the room for answers, to be returned when it is written
	Stream     *AnswerStream // of a long body, Body being its beginning; nil for one that is whole
}

// EncodeAnswer writes the answer for a caller.
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
			// In chunks, so that each piece goes out as it comes and an end that is cut off shows.
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

// Reply is what an endpoint answered to an attempt.
type Reply struct {
	Outcome  decide.Outcome // Served, ServerError or Rejected
	Status   int
	Body     []byte
	Type     string
	Encoding string
	Close    bool          // the endpoint ends the connection
	Reserved int           // of the room for answers
	Stream   *AnswerStream // of a long body, of which Body is the beginning; nil for one that is whole
}

// DecodeLoad reads a load report: name=value with commas between them, in one line. Names that the module has no use
// for are passed over, and so is a value that makes no sense: a report is never a reason to turn an answer down.
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

// EncodeProbe writes a probe.
func EncodeProbe() []byte {
	return []byte("GET " + pathLoad + " HTTP/1.1\r\nHost: " + serviceHost + "\r\n\r\n")
}

// MemoryBudget is the memory that bodies of answers may take together, from their first
// byte until they are written to their callers.
type MemoryBudget struct{ available atomic.Int64 }

// NewMemoryBudget returns room for so many bytes.
func NewMemoryBudget(bytes int64) *MemoryBudget {
	m := &MemoryBudget{}
	m.available.Store(bytes)
	return m
}

// Take takes so many bytes, if they are there.
func (m *MemoryBudget) Take(bytes int) bool {
	if m.available.Add(-int64(bytes)) >= 0 {
		return true
	}
	m.Release(bytes)
	return false
}

// Available is how many bytes are left.
func (m *MemoryBudget) Available() int64 { return m.available.Load() }

// Release gives bytes back.
func (m *MemoryBudget) Release(bytes int) { m.available.Add(int64(bytes)) }

// Bounds of reading an answer.
const (
	initialBodySize   = 4 << 10 // bytes taken before any has come: most bodies are smaller
	maxInterim        = 16      // interim answers (1xx) ahead of the one that counts
	errTooLong        = bodyError("body too long")
	errNoMemory       = bodyError("no room left for the body")
	errTooManyInterim = bodyError("too many interim answers")
)

type bodyError string

func (e bodyError) Error() string { return string(e) }

// errNoLength is the failure of an answer whose end only the end of the connection
// tells, and whose head does not say so: a half-written one would look whole.
var errNoLength = errors.New("answer without a length")

// Lengths that a head does not tell, in fasthttp's words.
const lengthChunked, lengthToEnd = -1, -2

// beginningTime is how long a long answer is held back for more of it than its first bytes:
// a spoilt one shows itself by then most often, and can be tried elsewhere.
const beginningTime = 150 * time.Millisecond

// Receive reads the answer to what was sent: whole, or the beginning of a long one.
func (l *Link) Receive(budget *MemoryBudget, environment env.Env) (Reply, error) {
	reply, err := decodeReply(l.in, budget, &beginningTimer{link: l, env: environment})
	if reply.Stream != nil {
		reply.Stream.link, reply.Stream.env = l, environment
	}
	return reply, err
}

// DecodeReply reads an endpoint's answer from what can't wait.
func DecodeReply(r *bufio.Reader, budget *MemoryBudget) (Reply, error) {
	return decodeReply(r, budget, nil)
}

// beginningTimer tells when to stop waiting for more of an answer's beginning.
type beginningTimer struct {
	link     *Link
	env      env.Env
	deadline time.Time // zero before the head has come
}

// waitMore waits for the next bytes, and tells whether they came in time.
func (p *beginningTimer) waitMore() bool {
	now := p.env.Now()
	if p.deadline.IsZero() {
		p.deadline = now.Add(beginningTime)
	}
	if p.link.in.Buffered() > 0 {
		return true
	}
	p.link.conn.SetReadDeadline(p.deadline)
	_, err := p.link.in.Peek(1)
	p.link.conn.SetReadDeadline(p.link.deadline)
	return !errors.Is(err, os.ErrDeadlineExceeded) // any other error shows at the next read
}

// decodeReply reads an answer; what is read of its body takes of the room.
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
	beginning, complete, err := readBeginning(body, length, budget, timer)
	reply.Body, reply.Reserved = beginning, cap(beginning)
	switch {
	case err != nil:
		budget.Release(cap(beginning))
		return Reply{}, err
	case !complete && reply.Outcome != decide.Served: // it tells all that it has to tell
		reply.Close = true
	case !complete:
		reply.Stream = &AnswerStream{Length: length, beginning: beginning, body: body}
	}
	return reply, nil
}

// readHead reads a head, past interim ones, and returns the reader of the body behind
// it, which ends with io.EOF only at the body's end; nil where there is none.
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
		return nil, nil // these never have a body
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

// headSaysClose tells whether the head that comes next says itself that the connection
// ends with its answer. fasthttp says so of all heads without a length.
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
	for line := range bytes.SplitSeq(head, []byte("\r\n")) { // each answer passes here: no memory is taken
		name, value, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(name, []byte("Connection")) && bytes.EqualFold(bytes.TrimSpace(value), []byte("close")) {
			return true
		}
	}
	return false
}

// fixedLengthBody is a body of a told length.
type fixedLengthBody struct {
	r         *bufio.Reader
	remaining int
}

// Read is io.Reader's.
func (b *fixedLengthBody) Read(p []byte) (int, error) {
	n, err := b.r.Read(p[:min(len(p), b.remaining)])
	switch b.remaining -= n; {
	case b.remaining == 0:
		return n, io.EOF
	case err == io.EOF:
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedBody is a body in chunks, with the trailer behind it, which is passed over. A
// read that fails changes nothing: another process can go on from left and behind.
type chunkedBody struct {
	r              *bufio.Reader
	remaining      int  // bytes of the chunk at hand that have not come
	lineEndPending bool // a chunk has come whole, and the end of its line has not
}

// errMalformedChunk is the fault of a chunk that can't be read.
var errMalformedChunk = errors.New("malformed chunk")

// Read is io.Reader's.
func (b *chunkedBody) Read(p []byte) (int, error) {
	for b.remaining == 0 {
		line, err := peekLine(b.r)
		if err != nil {
			return 0, err
		}
		if b.lineEndPending {
			if len(bytes.TrimRight(line, "\r\n")) > 0 {
				return 0, errMalformedChunk
			}
			b.lineEndPending = false
			b.r.Discard(len(line))
			continue
		}
		size, _, _ := bytes.Cut(line, []byte(";"))
		n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 31)
		if err != nil {
			return 0, errMalformedChunk
		}
		b.r.Discard(len(line))
		if n == 0 {
			return 0, cmp.Or(skipTrailer(b.r), io.EOF)
		}
		b.remaining = int(n)
	}
	n, err := b.r.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	b.lineEndPending = b.remaining == 0
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// skipTrailer reads to the empty line that ends a chunked body.
func skipTrailer(r *bufio.Reader) error {
	for left := MaxHead; left > 0; {
		line, err := peekLine(r)
		if err != nil {
			return err
		}
		r.Discard(len(line))
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
		left -= len(line)
	}
	return errTooLong
}

// peekLine returns the next line with its end, and leaves it where it is.
func peekLine(r *bufio.Reader) ([]byte, error) {
	for n := 1; ; {
		text, err := r.Peek(max(n, r.Buffered()))
		if end := bytes.IndexByte(text, '\n'); end >= 0 {
			return text[:end+1], nil
		}
		switch {
		case err == io.EOF:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		n = len(text) + 1
	}
}

// readBeginning reads a body of which length is told, or below 0, whole if it holds
// MaxWhole bytes at most. It takes memory as the bytes come: guards against heads that
// announce more than ever comes. What was taken of the room is the capacity of what is
// returned, also with an error.
func readBeginning(r io.Reader, length int, budget *MemoryBudget, timer *beginningTimer) (body []byte, complete bool, err error) {
	for {
		if len(body) >= MaxBuffered && length != len(body) {
			return body, false, nil
		}
		if len(body) > 0 && (length < 0 || length > MaxBuffered) && timer != nil && !timer.waitMore() {
			return body, false, nil
		}
		if len(body) == cap(body) {
			more := min(max(initialBodySize, cap(body)), MaxBuffered-cap(body))
			if length > 0 {
				more = min(more, length-len(body))
			}
			if !budget.Take(more) {
				return body, false, errNoMemory
			}
			body = append(make([]byte, 0, cap(body)+more), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF:
			return body, true, nil
		case err != nil:
			return body, false, err
		}
	}
}

// readComplete reads a whole answer of so many bytes at most, which is kept.
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

// outcomeOf reads a status. An endpoint that turned a request away has never
// run it; any other failure may have.
func outcomeOf(status int, rejected bool) decide.Outcome {
	switch {
	case status == fasthttp.StatusOK:
		return decide.Served
	case rejected && (status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusGatewayTimeout):
		return decide.Rejected
	}
	return decide.ServerError
}
