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

// Request is what a caller asks for.
type Request struct {
	ID        string
	Class     string
	Tenant    string
	Key       string        // drops repeats of a keyed class; empty elsewhere
	Labels    string        // further figures, as they came
	Remaining time.Duration // how long the caller will wait
	Work      time.Duration // expected work; 0 when unknown
	Repeat    bool          // a client's repeat, where clients mark it
	Method    string
	URI       string // path and query, as they came
	Type      string // of the body's content
	Body      []byte
	Upload    *Upload // of a long body, of which Body is the beginning; nil for one that is whole
}

// Bounds of what a caller may say.
const (
	// An hour is past any deadline, and arithmetic on more could overflow. Who says
	// more does not know how long it waits.
	maxRemaining = time.Hour
	// Bytes of an id, a tenant's name or a key: what is kept of a request and written
	// on. Most are a fifth of that.
	maxName = 256
)

// ErrFraming is the fault of a message that two readers could end, or name, in two
// ways: one of them may find another request hidden in it. Nothing that follows it
// on its connection can be trusted.
var ErrFraming = errors.New("ambiguous message")

// DecodeRequest reads the head of a caller's request. What it returns shares no memory
// with m, which is used again for the next request.
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
	if r.ID == "" {
		return Request{}, fmt.Errorf("%s: missing", headerID)
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
	if r.Remaining, err = parseSeconds(h.Peek(headerRemaining)); err != nil {
		return Request{}, fmt.Errorf("%s: %w", headerRemaining, err)
	}
	r.Work = expectedWork(r.Labels)
	return r, nil
}

// pathAndQuery returns path and query of a request's target, which may be absolute.
func pathAndQuery(uri []byte) []byte {
	scheme, rest, absolute := bytes.Cut(uri, []byte("://"))
	if !absolute || !bytes.EqualFold(scheme, []byte("http")) {
		return uri
	}
	switch at := bytes.IndexAny(rest, "/?#"); {
	case at < 0:
		return []byte("/")
	case rest[at] != '/':
		return append([]byte("/"), rest[at:]...)
	default:
		return rest[at:]
	}
}

// classOf returns the first part of a request's path.
func classOf(uri []byte) (string, error) {
	if len(uri) == 0 || uri[0] != '/' {
		return "", fmt.Errorf("path: %q does not begin with /", uri)
	}
	part := uri[1:]
	if end := bytes.IndexAny(part, "/?#"); end >= 0 {
		part = part[:end]
	}
	if len(part) == 0 {
		return "", fmt.Errorf("path: %q names no class", uri)
	}
	return string(part), nil
}

// checkFraming looks at a head as it came. fasthttp turns down lengths that are
// repeated, signed or too large, and codings that it does not know; it takes both a
// length and a coding, lines that end in a bare line feed or go on in the next, and
// the first of several ids.
func checkFraming(h *fasthttp.RequestHeader) error {
	length, coding := false, false
	for rest := h.RawHeaders(); len(rest) > 0; {
		line, next, ended := bytes.Cut(rest, []byte("\r\n"))
		if !ended || bytes.ContainsAny(line, "\r\n") {
			return fmt.Errorf("%w: a line of its head does not end in CR LF", ErrFraming)
		}
		if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
			return fmt.Errorf("%w: a line of its head is folded", ErrFraming)
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		length = length || bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength))
		coding = coding || bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding))
		rest = next
	}
	if coding && (length || h.ContentLength() != lengthChunked) {
		return fmt.Errorf("%w: its length is told in two ways, or by an unknown coding", ErrFraming)
	}
	for _, name := range []string{headerID, headerTenant, headerRemaining, headerKey} {
		if len(h.PeekAll(name)) > 1 {
			return fmt.Errorf("%w: %s stands there more than once", ErrFraming, name)
		}
	}
	return nil
}

// parseSeconds reads seconds with decimals. ParseFloat alone would take infinity,
// exponents and hexadecimal numbers too.
func parseSeconds(v []byte) (time.Duration, error) {
	s, err := strconv.ParseFloat(string(v), 64)
	if err != nil || len(bytes.Trim(v, "0123456789.")) > 0 || s > maxRemaining.Seconds() {
		return 0, fmt.Errorf("%q is not a number of seconds up to %v", v, maxRemaining.Seconds())
	}
	return time.Duration(math.Round(s*1e6)) * time.Microsecond, nil
}

// appendSeconds writes a time in seconds, down to the microsecond.
func appendSeconds(b []byte, d time.Duration) []byte {
	return strconv.AppendFloat(b, float64(d/time.Microsecond)/1e6, 'f', -1, 64)
}

// labelWork is the label that tells a request's expected work, in milliseconds.
const labelWork = "hint"

// expectedWork reads the expected work from a request's labels; 0 if they do not
// tell it.
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

// EncodeAttempt writes the request as it goes to an endpoint: method, path,
// query, body, id and key as they came, and how long its answer is waited for.
func EncodeAttempt(r *Request, wait time.Duration) []byte {
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
		h.SetContentLength(len(r.Body))
	}
	text := h.AppendBytes(nil)
	if r.Upload != nil && r.Upload.Length < 0 {
		text = append(strconv.AppendInt(text, int64(len(r.Body)), 16), "\r\n"...)
		return append(append(text, r.Body...), "\r\n"...)
	}
	return append(text, r.Body...)
}
