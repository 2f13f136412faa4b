package load

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// malformedTimeout is how long a malformed-request client waits for an answer or for the end of its connection.
const malformedTimeout = 6 * time.Second

// malformedTexts are what malformed-request clients send. None of them is a request that may be served.
var malformedTexts = []string{
	"what?\r\n\r\n",
	"GET /nothing-of-the-kind/1 HTTP/1.1\r\nHost: lab\r\nX-Txn: rude\r\nX-Remaining: 1\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: lab\r\n\r\n",
	"POST /x HTTP/1.1\r\nHost: lab\r\nContent-Length: -4\r\n\r\n",
	"POST /x HTTP/1.1\r\nHost: lab\r\nContent-Length: 60000000\r\n\r\nxx",
	"POST /x HTTP/1.1\r\nHost: lab\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"GET /x HTTP/1.1\r\nX-Txn: ",
	"GET /x HTTP/1.1\r\nX-Long: " + strings.Repeat("a", 20_000) + "\r\n\r\n",
	"",
}

// MalformedCounts counts the outcomes of malformed requests.
type MalformedCounts struct {
	Sent     int `json:"sent"`
	Refused  int `json:"answered_400"`
	Closed   int `json:"closed"`
	Silent   int `json:"no_word"` // neither an answer nor the end of the connection within malformedTimeout
	Answered int `json:"answered_otherwise"`
}

// SendMalformed sends malformed requests at a mean rate until ctx ends, and returns the counts of their outcomes.
func SendMalformed(ctx context.Context, front Front, perSecond float64, seed uint64) MalformedCounts {
	var (
		count MalformedCounts
		mu    sync.Mutex
		wait  sync.WaitGroup
	)
	random := rand.New(rand.NewPCG(seed, 4))
	for {
		pause := time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		text := malformedTexts[random.IntN(len(malformedTexts))]
		select {
		case <-ctx.Done():
			wait.Wait()
			return count
		case <-time.After(pause):
		}
		target := front.Pick()
		if target == nil {
			continue
		}
		wait.Go(func() {
			end := sendMalformedOnce(target.Address, text)
			mu.Lock()
			defer mu.Unlock()
			count.Sent++
			*end(&count)++
		})
	}
}

// sendMalformedOnce sends one text and returns a function that selects the count for its outcome.
func sendMalformedOnce(address, text string) func(*MalformedCounts) *int {
	closed := func(r *MalformedCounts) *int { return &r.Closed }
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return closed
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(malformedTimeout))
	if _, err := io.WriteString(conn, text); err != nil {
		return closed
	}
	var answer fasthttp.Response
	in := bufio.NewReader(conn)
	if _, err := in.Peek(1); err != nil {
		if e, ok := err.(net.Error); ok && e.Timeout() {
			return func(r *MalformedCounts) *int { return &r.Silent }
		}
		return closed
	}
	if err := answer.ReadLimitBody(in, maxAnswerBody); err != nil {
		return closed
	}
	if answer.StatusCode() == fasthttp.StatusBadRequest {
		return func(r *MalformedCounts) *int { return &r.Refused }
	}
	return func(r *MalformedCounts) *int { return &r.Answered }
}
