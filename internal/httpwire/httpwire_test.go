package httpwire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"heathgap/decide"
	"heathgap/internal/env"
)

func decode(t *testing.T, text string) (Request, error) {
	t.Helper()
	var m fasthttp.Request
	if err := m.Read(bufio.NewReader(strings.NewReader(text))); err != nil {
		t.Fatal(err)
	}
	r, err := DecodeRequest(&m)
	r.Body = m.Body()
	return r, err
}

func TestDecodeRequest(t *testing.T) {
	r, err := decode(t, "POST /pay/x?sid=1 HTTP/1.1\r\nHost: h\r\nX-Txn: 9b\r\nX-Org: acme\r\nX-Remaining: 0.480\r\n"+
		"X-Resent: 1\r\nX-Labels: a=1,hint=25.5\r\nIdempotency-Key: 5c\r\nContent-Length: 2\r\n\r\nhi")
	if err != nil {
		t.Fatal(err)
	}
	if r.ID != "9b" || r.Class != "pay" || r.Tenant != "acme" || r.Key != "5c" || r.Labels != "a=1,hint=25.5" || !r.Repeat {
		t.Errorf("%+v", r)
	}
	if r.Remaining != 480*time.Millisecond || r.Work != 25500*time.Microsecond || string(r.Body) != "hi" {
		t.Errorf("%+v", r)
	}
}

func TestDecodeRequestTime(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"0": 0, "0.001": time.Millisecond, ".5": 500 * time.Millisecond, "2": 2 * time.Second, "3600": maxRemaining,
	} {
		r, err := decode(t, "GET /a HTTP/1.1\r\nHost: h\r\nX-Txn: 1\r\nX-Remaining: "+value+"\r\n\r\n")
		if err != nil || r.Remaining != want {
			t.Errorf("%s: %v, %v; want %v", value, r.Remaining, err, want)
		}
	}
}

// Guards against remaining times that are not a decimal number of seconds: the request would be pending for as long as
// the caller likes.
func TestDecodeRequestBadTime(t *testing.T) {
	for _, value := range []string{
		"", "soon", "-1", "+1", "NaN", "Inf", "infinity", "1e-3", "0x1p3", "1_0", "1.2.3", ".", "3601", "9999999999999999999999",
	} {
		r, err := decode(t, "GET /a HTTP/1.1\r\nHost: h\r\nX-Txn: 1\r\nX-Remaining: "+value+"\r\n\r\n")
		if err == nil {
			t.Errorf("%q: %v, want an error", value, r.Remaining)
		}
	}
}

// Guards against messages that can be read in two ways: fasthttp accepts each of these, and what it leaves of one may
// hide another request.
func TestAmbiguousRequests(t *testing.T) {
	const head = "Host: h\r\nX-Txn: 1\r\nX-Remaining: 1\r\n"
	for name, text := range map[string]string{
		"length and coding": head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"coding and length": head + "transfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n0\r\n\r\n",
		"coding identity":   head + "Transfer-Encoding: identity\r\n\r\n",
		"bare line feed":    "Host: h\nX-Txn: 1\r\nX-Remaining: 1\r\n\r\n",
		"folded line":       head + "X-Labels: a=1,\r\n b=2\r\n\r\n",
		"two ids":           head + "X-Txn: 2\r\n\r\n",
		"two times":         head + "X-Remaining: 2\r\n\r\n",
		"two keys":          head + "Idempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n",
	} {
		if _, err := decode(t, "POST /a HTTP/1.1\r\n"+text); !errors.Is(err, ErrFraming) {
			t.Errorf("%s: %v, want an ambiguous message", name, err)
		}
	}
	if r, err := decode(t, "POST /a HTTP/1.1\r\n"+head+"Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"); err != nil ||
		string(r.Body) != "hi" {
		t.Errorf("chunked alone: %+v, %v", r, err)
	}
}

// A request target may be an absolute URI; its path and query are forwarded.
func TestTargets(t *testing.T) {
	for uri, want := range map[string]string{
		"/a/b?c=d": "/a/b?c=d", "http://h/a?c": "/a?c", "HTTP://h:80/a": "/a", "http://h": "", "http://h?c": "",
		"ftp://h/a": "", "/a?u=http://h/x": "/a?u=http://h/x",
	} {
		r, err := decode(t, "GET "+uri+" HTTP/1.1\r\nHost: h\r\nX-Txn: 1\r\nX-Remaining: 1\r\n\r\n")
		if (err != nil) != (want == "") || err == nil && (r.URI != want || r.Class != "a") {
			t.Errorf("%s: %q of class %q, %v", uri, r.URI, r.Class, err)
		}
	}
}

// IDs, tenants and keys, which are kept and forwarded, are limited in length.
func TestLongNames(t *testing.T) {
	long := strings.Repeat("a", maxName+1)
	for _, line := range []string{"X-Txn: " + long, "X-Txn: 1\r\nX-Org: " + long, "X-Txn: 1\r\nIdempotency-Key: " + long} {
		if _, err := decode(t, "GET /a HTTP/1.1\r\nHost: h\r\nX-Remaining: 1\r\n"+line+"\r\n\r\n"); err == nil {
			t.Errorf("%.20s... is accepted", line)
		}
	}
}

// Labels are optional hints: an invalid one is no reason to reject a request.
func TestExpectedWork(t *testing.T) {
	for labels, want := range map[string]time.Duration{
		"": 0, "a=1": 0, "hint=": 0, "hint=x": 0, "hint=-4": 0, "hint=NaN": 0, "xhint=3": 0,
		"hint=3": 3 * time.Millisecond, "a=1,hint=0.5,b=2": 500 * time.Microsecond, "hint=1e300": maxRemaining,
	} {
		if got := expectedWork(labels); got != want {
			t.Errorf("%q: %v, want %v", labels, got, want)
		}
	}
}

// An endpoint gets what the caller sent, as read by another HTTP library.
func TestEncodeAttempt(t *testing.T) {
	in := Request{
		ID: "9b", Class: "pay", Tenant: "acme", Key: "5c", Labels: "a=1", Repeat: true, Method: "POST",
		URI: "/pay/%2F//x?sid=1&sid=2", Type: "multipart/form-data; boundary=b", Body: []byte("\x00raw"),
	}
	m, err := http.ReadRequest(bufio.NewReader(strings.NewReader(string(bytes.Join(EncodeAttempt(&in, in.Body, 250*time.Millisecond), nil)))))
	if err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]string{
		"X-Txn": "9b", "X-Org": "acme", "Idempotency-Key": "5c", "X-Labels": "a=1", "X-Resent": "1",
		"X-Remaining": "0.25", "Content-Type": in.Type,
	} {
		if got := m.Header.Get(name); got != want {
			t.Errorf("%s: %q, want %q", name, got, want)
		}
	}
	body := make([]byte, 10)
	n, _ := m.Body.Read(body)
	if m.Method != "POST" || m.RequestURI != in.URI || string(body[:n]) != "\x00raw" || m.ContentLength != 4 {
		t.Errorf("%s %s, %d bytes", m.Method, m.RequestURI, m.ContentLength)
	}
	get := string(bytes.Join(EncodeAttempt(&Request{ID: "1", Method: "GET", URI: "/a"}, nil, 0), nil))
	if strings.Contains(get, "Content-") || strings.Contains(get, "Idempotency") {
		t.Errorf("a GET has headers that it came without:\n%s", get)
	}
}

func TestDecodeReply(t *testing.T) {
	for name, c := range map[string]struct {
		text    string
		outcome decide.Outcome
		body    string
		close   bool
	}{
		"served":    {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", decide.Served, "hi", false},
		"chunked":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", decide.Served, "hi", false},
		"interim":   {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", decide.Served, "", false},
		"last":      {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi", decide.Served, "hi", true},
		"error":     {"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", decide.ServerError, "", false},
		"away":      {"HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n", decide.Rejected, "", false},
		"500 away":  {"HTTP/1.1 500 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n", decide.ServerError, "", false},
		"other 2xx": {"HTTP/1.1 204 None\r\n\r\n", decide.ServerError, "", false},
	} {
		r, err := DecodeReply(bufio.NewReader(strings.NewReader(c.text)), NewMemoryBudget(MaxAnswer))
		if err != nil || r.Outcome != c.outcome || string(r.Body) != c.body || r.Close != c.close {
			t.Errorf("%s: %+v, %v", name, r, err)
		}
	}
}

// Guards against answers for which memory is reserved before they come, or beyond the budget, and against long ones that
// are rejected though the budget allows them.
func TestDecodeLongReplies(t *testing.T) {
	head := func(length int) string {
		return "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(length) + "\r\n\r\n"
	}
	chunk := func(length int) string {
		return fmt.Sprintf("%x\r\n%s\r\n", length, strings.Repeat("x", length))
	}
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	const long, largeBudget = 400_000, 3 << 20
	for name, c := range map[string]struct {
		text string
		room int
		want int // bytes of the body; -1 for an error
	}{
		"long":               {head(long) + strings.Repeat("x", long), largeBudget, long},
		"long chunks":        {chunked + chunk(long) + chunk(long) + "0\r\n\r\n", largeBudget, 2 * long},
		"to the close":       {"HTTP/1.1 200 OK\r\nconnection: Close\r\n\r\n" + strings.Repeat("x", long), largeBudget, long},
		"of HTTP/1.0":        {"HTTP/1.0 200 OK\r\n\r\nhi", largeBudget, 2},
		"no length":          {"HTTP/1.1 200 OK\r\n\r\nhi", largeBudget, -1},
		"trailer":            {chunked + "2;ext=1\r\nhi\r\n0\r\nX-Sum: 1\r\n\r\n", largeBudget, 2},
		"cut off":            {head(long) + strings.Repeat("x", long-1), largeBudget, -1},
		"longest":            {head(MaxAnswer) + strings.Repeat("x", MaxAnswer), largeBudget, MaxAnswer},
		"too long":           {head(MaxAnswer+1) + strings.Repeat("x", MaxAnswer+1), largeBudget, -1},
		"3 GB":               {head(3<<30) + "x", largeBudget, -1},
		"chunks too long":    {chunked + chunk(MaxAnswer) + chunk(1) + "0\r\n\r\n", largeBudget, -1},
		"no room":            {head(MaxBuffered) + strings.Repeat("x", MaxBuffered), MaxBuffered / 2, -1},
		"no room at all":     {head(long) + strings.Repeat("x", long), initialBodySize - 1, -1},
		"long, little room":  {head(long) + strings.Repeat("x", long), MaxBuffered / 2, long},
		"announced only":     {head(MaxAnswer) + "x", largeBudget, -1},
		"no last chunk":      {chunked + chunk(long), largeBudget, -1},
		"no end of trailer":  {chunked + chunk(long) + "0\r\n", largeBudget, -1},
		"endless interim":    {strings.Repeat("HTTP/1.1 103 Early\r\n\r\n", 1000), largeBudget, -1},
		"length that is odd": {"HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nhi", largeBudget, -1},
	} {
		room := NewMemoryBudget(int64(c.room))
		r, err := DecodeReply(bufio.NewReader(strings.NewReader(c.text)), room)
		length := len(r.Body)
		if r.Stream != nil { // it is streamed; the connection's end stands for the link
			var out bytes.Buffer
			ours, theirs := net.Pipe()
			defer ours.Close()
			defer theirs.Close()
			r.Stream.link, r.Stream.env = &Link{conn: ours}, env.Real{}
			_, err = r.Stream.WriteTo(&out)
			length = out.Len()
		}
		if failed := err != nil; failed != (c.want < 0) || !failed && length != c.want {
			t.Errorf("%s: %d bytes, %v; want %d", name, length, err, c.want)
		}
		if r.Memory.Release(); !room.Take(c.room) {
			t.Errorf("%s: not all of its memory was released", name)
		}
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range 100 {
		DecodeReply(bufio.NewReader(strings.NewReader(head(MaxAnswer)+"x")), NewMemoryBudget(largeBudget))
	}
	runtime.ReadMemStats(&after)
	if took := (after.TotalAlloc - before.TotalAlloc) / 100; took > 64<<10 {
		t.Errorf("%d bytes are allocated for an answer of one byte", took)
	}
}

func TestEncodeAnswer(t *testing.T) {
	for _, c := range []struct {
		answer Answer
		status int
		after  string
	}{
		{Answer{Verdict: Served, Body: []byte("hi")}, 200, ""},
		{Answer{Verdict: Refused, RetryAfter: 1250 * time.Millisecond}, 503, "1.25"},
		{Answer{Verdict: Refused}, 503, ""},
		{Answer{Verdict: Failed}, 502, ""},
		{Answer{Verdict: Malformed, Reason: "why"}, 400, ""},
	} {
		var m fasthttp.Response
		EncodeAnswer(&c.answer, &m)
		if m.StatusCode() != c.status || string(m.Header.Peek("Retry-After")) != c.after {
			t.Errorf("%+v: %d, Retry-After %q", c.answer, m.StatusCode(), m.Header.Peek("Retry-After"))
		}
		if c.answer.Verdict == Served && string(m.Body()) != "hi" {
			t.Errorf("body %q", m.Body())
		}
	}
}

// Load reports are optional: invalid parts are skipped.
func TestDecodeLoad(t *testing.T) {
	none := decide.Load{Outstanding: -1, Utilization: -1}
	for text, want := range map[string]decide.Load{
		"outstanding=3,utilization=0.4":    {Outstanding: 3, Utilization: 0.4},
		" utilization=0.4 , recent_ms=7\n": {Outstanding: -1, Utilization: 0.4},
		"":                                 none,
		"outstanding=-1,utilization=NaN":   none,
		"outstanding=lots":                 none,
		"3,0.4":                            none,
	} {
		if got := DecodeLoad([]byte(text)); got != want {
			t.Errorf("%q: %+v, want %+v", text, got, want)
		}
	}
}
