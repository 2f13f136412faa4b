package httpwire

import (
	"bufio"
	"bytes"
	"testing"

	"github.com/valyala/fasthttp"
)

// Whatever an endpoint sends, reading it ends, stays within its limits and releases the memory that it reserved.
func FuzzDecodeReply(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx",
		"\x00noise",
	} {
		f.Add([]byte(text))
	}
	const budgetBytes = 64 << 10
	f.Fuzz(func(t *testing.T, text []byte) {
		budget := NewMemoryBudget(budgetBytes)
		r, err := DecodeReply(bufio.NewReaderSize(bytes.NewReader(text), MaxHead), budget)
		if err == nil && len(r.Body) > len(text) {
			t.Errorf("a body of %d bytes out of %d", len(r.Body), len(text))
		}
		if r.Memory.Release(); !budget.Take(budgetBytes) {
			t.Error("not all of the memory budget was released")
		}
	})
}

// Whatever a caller sends, an accepted request is complete, within the limits, and is forwarded with the same ID.
func FuzzDecodeRequest(f *testing.F) {
	for _, text := range []string{
		"GET /look/x?a=b HTTP/1.1\r\nHost: h\r\nX-Txn: 1\r\nX-Remaining: 1.5\r\n\r\n",
		"POST /pay HTTP/1.1\r\nHost: h\r\nX-Txn: 1\r\nX-Remaining: 1\r\nIdempotency-Key: k\r\nContent-Length: 2\r\n\r\nhi",
		"POST /pay HTTP/1.1\r\nHost: h\r\nX-Txn: 1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"GET / HTTP/1.1\nX-Txn: 1\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var m, again fasthttp.Request
		if m.ReadLimitBody(bufio.NewReaderSize(bytes.NewReader(text), MaxHead), MaxBody) != nil {
			return
		}
		r, err := DecodeRequest(&m)
		if err != nil {
			return
		}
		r.Body = m.Body()
		if r.ID == "" || len(r.ID) > maxName || r.Class == "" || r.Remaining < 0 || r.Remaining > maxRemaining {
			t.Errorf("accepted: %+v", r)
		}
		sent := bytes.Join(EncodeAttempt(&r, r.Body, r.Remaining), nil)
		if err := again.Read(bufio.NewReaderSize(bytes.NewReader(sent), 2*MaxHead)); err != nil {
			t.Fatalf("forwarded as %q: %v", sent, err)
		}
		if id := again.Header.Peek(headerID); string(id) != r.ID || !bytes.Equal(again.Body(), r.Body) {
			t.Errorf("forwarded as %q, came as %+v", sent, r)
		}
	})
}
