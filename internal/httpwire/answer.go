package httpwire

import (
	"bufio"
	"bytes"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"heathgap/decide"
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
	Last       bool          // the caller's connection ends with it
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
	Close    bool // the endpoint ends the connection
}

// errOpenEnded is the failure of an answer whose end only the end of the
// connection would tell: a half-written one would look whole.
var errOpenEnded = errors.New("answer without a length")

// DecodeReply reads an endpoint's answer.
func DecodeReply(r *bufio.Reader) (Reply, error) {
	m := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(m)
	if err := readResponse(m, r, MaxBody); err != nil {
		return Reply{}, err
	}
	h := &m.Header
	status := h.StatusCode()
	return Reply{
		Outcome:  outcomeOf(status, string(h.Peek(headerTurnedAway)) == "1"),
		Status:   status,
		Body:     bytes.Clone(m.Body()),
		Type:     string(h.ContentType()),
		Encoding: string(h.ContentEncoding()),
		Close:    h.ConnectionClose(),
	}, nil
}

// readResponse reads a whole response of a known length.
func readResponse(m *fasthttp.Response, r *bufio.Reader, most int) error {
	const identity = -2 // what fasthttp says of a body that ends with its connection
	m.Header.SetNoDefaultContentType(true)
	for {
		if err := m.Header.Read(r); err != nil {
			return err
		}
		if s := m.Header.StatusCode(); s < 100 || s > 199 {
			break
		}
	}
	if s := m.Header.StatusCode(); s == fasthttp.StatusNoContent || s == fasthttp.StatusNotModified {
		return nil // these never have a body
	}
	length := m.Header.ContentLength()
	if length == identity {
		return errOpenEnded
	}
	if err := m.ReadBody(r, most); err != nil {
		return err
	}
	if length >= 0 {
		return nil
	}
	return m.Header.ReadTrailer(r)
}

// outcomeOf reads a status. An endpoint that turned a request away has never
// run it; any other failure may have.
func outcomeOf(status int, turnedAway bool) decide.Outcome {
	switch {
	case status == fasthttp.StatusOK:
		return decide.Served
	case turnedAway && (status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusGatewayTimeout):
		return decide.Rejected
	}
	return decide.ServerError
}
