package httpwire

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/valyala/fasthttp"
)

// ErrFraming is the error for a message whose end or ID two parsers could read differently: one of them might find
// another request hidden in it. Nothing that follows it on its connection can be trusted.
var ErrFraming = errors.New("ambiguous message")

// protocolPrefix begins the versions of the protocol that are served.
var protocolPrefix = []byte("HTTP/1.")

// checkFraming checks the raw head of a request. fasthttp rejects lengths that are repeated, signed or too large, and
// transfer codings that it does not know. It accepts any version, a message with both a length and a coding, names with a space, lines
// that end in a bare line feed, folded lines, and several IDs, of which it takes the first. requestScanner checks the end of the first
// line.
func checkFraming(h *fasthttp.RequestHeader) error {
	if !bytes.HasPrefix(h.Protocol(), protocolPrefix) {
		return fmt.Errorf("version: %q is not one of HTTP/1", h.Protocol())
	}
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
		if bytes.ContainsAny(name, " \t") {
			return fmt.Errorf("%w: the name of a field has a space", ErrFraming)
		}
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
