package httpwire

import (
	"bufio"
	"bytes"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"
)

// scanInPieces scans a text in pieces of the given size and returns how much of it is accepted.
func scanInPieces(s *requestScanner, text string, size int) (accepted int, err error) {
	for accepted < len(text) && err == nil {
		piece := text[accepted:min(len(text), accepted+size)]
		var n int
		n, err = s.scan([]byte(piece))
		accepted += n
	}
	return accepted, err
}

// A head, or a trailer, with too many lines is cut short, wherever it stands on its connection and in whatever pieces it comes.
func TestScannerLimitsLines(t *testing.T) {
	many := strings.Repeat("a:\r\n", maxFields)
	fine := "GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", maxFields-2) + "\r\n"
	fixed := "POST / HTTP/1.1\r\nCONTENT-LENGTH:  \t7\r\n\r\n\n\n\n\n\n\n\n"
	chunked := "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\n\n\n\n\r\nc\r\n" + strings.Repeat("\n", 12) + "\r\n0\r\nt: 1\r\n\r\n"
	for name, ahead := range map[string]string{
		"first": "", "behind a good one": fine, "behind a body": fixed, "behind chunks": chunked, "behind empty lines": strings.Repeat("\r\n", 300),
		"behind all of them": fine + fixed + chunked + "\r\n" + fixed,
	} {
		for _, bad := range []string{"GET / HTTP/1.1\r\n" + many + "\r\n", strings.TrimSuffix(chunked, "t: 1\r\n\r\n") + many + "x:\r\n\r\n"} {
			for _, size := range []int{1, 7, 1 << 20} {
				s := &requestScanner{}
				if n, err := scanInPieces(s, ahead+bad, size); err != errTooManyFields || n < len(ahead) || n >= len(ahead+bad) {
					t.Errorf("%s, pieces of %d: %d of %d bytes accepted, %v", name, size, n, len(ahead+bad), err)
				}
				s = &requestScanner{}
				if n, err := scanInPieces(s, ahead, size); err != nil || n != len(ahead) || s.state != scanBetween {
					t.Errorf("%s alone, pieces of %d: %d of %d bytes accepted, %v, state %d", name, size, n, len(ahead), err, s.state)
				}
			}
		}
	}
}

// Whatever the parser takes as a series of requests, the scanner takes as the same number of requests.
func TestScannerFollowsTheParser(t *testing.T) {
	parts := []string{
		"GET /a HTTP/1.1\r\nHost: x\r\n\r\n", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n\r\n\n\r\n", "\r\n", "\n",
		"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n0\r\n\r\n", "POST /a HTTP/1.1\r\nHost: x\r\ncontent-LENGTH: 0\r\n\r\n",
		"GET /a HTTP/1.0\r\n\r\n", "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding:CHUNKED\r\n\r\n002;e=\"1\"\r\nab\r\n0\r\nt: u\r\n\r\n",
		"GET /a HTTP/1.1\r\nContent-Length-X: 9\r\nHost: x\r\nX: Content-Length: 3\r\n\r\n",
	}
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOfN(rapid.SampledFrom(parts), 0, 12).Draw(t, "parts"), "")
		s := &requestScanner{}
		if n, err := scanInPieces(s, text, rapid.IntRange(1, 40).Draw(t, "size")); n != len(text) || err != nil {
			t.Fatalf("%d of %d bytes accepted, %v", n, len(text), err)
		}
		if want := parsedRequests(text); s.requests != want {
			t.Fatalf("%d requests, the parser finds %d", s.requests, want)
		}
	})
}

// parsedRequests returns how many requests the parser finds in a text.
func parsedRequests(text string) (n int) {
	r := bufio.NewReader(bytes.NewReader([]byte(text)))
	for {
		var m fasthttp.Request
		if m.Read(r) != nil {
			return n
		}
		n++
	}
}
