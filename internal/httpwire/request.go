package httpwire

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// Request is a request of a caller.
type Request struct {
	ID        string
	Class     string
	Tenant    string
	Key       string        // idempotency key, by which endpoints drop repeats; empty for classes without keys
	Labels    string        // further hints, as they came
	Remaining time.Duration // how long the caller still waits
	Work      time.Duration // expected work; 0 if unknown
	Repeat    bool          // the client marked it as a repeat of an earlier request
	Method    string
	URI       string       // path and query, as they came
	Type      string       // Content-Type of the body
	Body      []byte       // complete; nil for a long body
	Upload    *Upload      // a long body; nil for others
	Memory    *Reservation // of Body or Upload, to be released once no attempt needs it any more; nil without one
}

// Limits of what a caller may send.
const (
	// An hour is longer than any deadline, and arithmetic on more could overflow. A caller that claims to wait longer
	// does not know how long it waits.
	maxRemaining = time.Hour
	// In bytes, of an ID, a tenant's name or a key: these are kept while the request is pending and are forwarded. Most
	// are a fifth of that.
	maxName = 256
	// In bytes, of a body that is written in one piece with its head.
	maxCopiedBody = 4 << 10
)

// DecodeRequest reads the head of a caller's request. The result shares no memory with m, which is reused for the next
// request.
func DecodeRequest(m *fasthttp.Request) (Request, error) {
	h := &m.Header
	if err := checkFraming(h); err != nil {
		return Request{}, err
	}
	r := Request{
		ID:     string(h.Peek(headerID)),
		Tenant: string(h.Peek(headerTenant)),
		Key:    string(h.Peek(headerKey)),
		Labels: string(h.Peek(headerLabels)),
		Repeat: string(h.Peek(headerResent)) == "1",
		Method: string(h.Method()),
		URI:    string(pathAndQuery(h.RequestURI())),
		Type:   string(h.ContentType()),
	}
	if r.Method != fasthttp.MethodGet && r.Method != fasthttp.MethodPost {
		return Request{}, fmt.Errorf("method: %q is neither GET nor POST", r.Method)
	}
	if length := h.ContentLength(); r.Method == fasthttp.MethodGet && (length > 0 || length == lengthChunked) {
		return Request{}, errors.New("body: a GET has none")
	}
	if err := checkID(r.ID); err != nil {
		return Request{}, fmt.Errorf("%s: %w", headerID, err)
	}
	for _, f := range []struct{ name, value string }{
		{headerID, r.ID}, {headerTenant, r.Tenant}, {headerKey, r.Key},
	} {
		if len(f.value) > maxName {
			return Request{}, fmt.Errorf("%s: %d bytes, and %d are allowed", f.name, len(f.value), maxName)
		}
	}
	class, err := classOf([]byte(r.URI))
	if err != nil {
		return Request{}, err
	}
	r.Class = class
	if err := checkTarget(r.URI); err != nil {
		return Request{}, err
	}
	if r.Remaining, err = parseSeconds(h.Peek(headerRemaining)); err != nil {
		return Request{}, fmt.Errorf("%s: %w", headerRemaining, err)
	}
	r.Work = expectedWork(r.Labels)
	return r, nil
}

// parseSeconds parses a decimal number of seconds. ParseFloat alone would also accept infinity, exponents and
// hexadecimal numbers.
func parseSeconds(v []byte) (time.Duration, error) {
	s, err := strconv.ParseFloat(string(v), 64)
	if err != nil || len(bytes.Trim(v, "0123456789.")) > 0 || s > maxRemaining.Seconds() {
		return 0, fmt.Errorf("%q is not a number of seconds up to %v", v, maxRemaining.Seconds())
	}
	return time.Duration(math.Round(s*1e6)) * time.Microsecond, nil
}

// appendSeconds appends a duration in seconds, with microsecond resolution.
func appendSeconds(b []byte, d time.Duration) []byte {
	return strconv.AppendFloat(b, float64(d/time.Microsecond)/1e6, 'f', -1, 64)
}

// labelWork is the label that holds the expected work of a request, in milliseconds.
const labelWork = "hint"

// expectedWork returns the expected work given in a request's labels; 0 if they give none.
func expectedWork(labels string) time.Duration {
	for label := range strings.SplitSeq(labels, ",") {
		if value, ok := strings.CutPrefix(label, labelWork+"="); ok {
			ms, err := strconv.ParseFloat(value, 64)
			if err != nil || !(ms > 0) {
				return 0
			}
			ms = min(ms, float64(maxRemaining.Milliseconds()))
			return time.Duration(ms * float64(time.Millisecond))
		}
	}
	return 0
}

// EncodeAttempt encodes the request for an endpoint: method, path, query, body, ID and key as they came, and wait as the
// time for which the answer is awaited. body is the request's body, or the beginning of a long one. It returns parts to be written one
// after the other, so that a body of more than maxCopiedBody bytes need not be copied.
func EncodeAttempt(r *Request, body []byte, wait time.Duration) (parts [][]byte) {
	var h fasthttp.RequestHeader
	h.SetNoDefaultContentType(true)
	h.SetMethod(r.Method)
	h.SetRequestURI(r.URI)
	h.SetHost(serviceHost)
	h.Set(headerID, r.ID)
	h.SetBytesV(headerRemaining, appendSeconds(nil, max(0, wait)))
	for _, f := range []struct{ name, value string }{
		{headerTenant, r.Tenant}, {headerKey, r.Key}, {headerLabels, r.Labels},
	} {
		if f.value != "" {
			h.Set(f.name, f.value)
		}
	}
	if r.Repeat {
		h.Set(headerResent, "1")
	}
	if r.Type != "" {
		h.SetContentType(r.Type)
	}
	switch {
	case r.Upload != nil:
		h.SetContentLength(max(lengthChunked, r.Upload.Length))
	case r.Method != fasthttp.MethodGet:
		h.SetContentLength(len(body))
	}
	text := h.AppendBytes(nil)
	chunkEnd := ""
	if r.Upload != nil && r.Upload.Length < 0 {
		text = append(strconv.AppendInt(text, int64(len(body)), 16), "\r\n"...)
		chunkEnd = "\r\n"
	}
	if len(body) <= maxCopiedBody {
		return [][]byte{append(append(text, body...), chunkEnd...)}
	}
	parts = [][]byte{text, body}
	if chunkEnd != "" {
		parts = append(parts, []byte(chunkEnd))
	}
	return parts
}
