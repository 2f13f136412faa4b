package lifecycle

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"heathgap/internal/lab/scripted"
)

// endpointFault is what an endpoint of a soak does with a request instead of serving it.
type endpointFault int

const (
	faultNone       endpointFault = iota
	faultHang                     // no answer, and the connection stays open
	faultReset                    // the connection is reset once the request has come
	faultHalf                     // the beginning of an answer with a length, then a reset
	faultNoEnd                    // an answer whose end only the connection's end could tell, then a reset
	faultStall                    // the beginning of an answer without a length, and then nothing more
	faultLong                     // served with a long body, in pieces
	faultError                    // status 500
	faultTurnedAway               // turned away unseen
	faultSecond                   // a second answer, of no request, some milliseconds later
	faultClose                    // served, and the connection is closed though the answer does not say so
	numEndpointFaults
)

// soakEndpoint is an endpoint that serves each request with its id, or fails as its fault says.
type soakEndpoint struct {
	name    string
	address string
	record  *soakRecord

	mu        sync.Mutex
	random    *rand.Rand
	faulty    float64 // share of requests with a random fault
	hanging   bool    // each request meets faultHang
	slowUntil time.Duration
	badBodies float64 // share of large bodies that are read slowly or not to their end, and of answers that are written slowly
}

// secondAnswerLimit is how long after its answer an endpoint may write a second one: some milliseconds (STANDING.md), and less than a
// sidecar lets a connection rest.
const secondAnswerLimit = 5 * time.Millisecond

// startSoakEndpoint starts an endpoint that ends with the test.
func startSoakEndpoint(t *testing.T, name string, record *soakRecord, seed uint64, faulty float64) *soakEndpoint {
	t.Helper()
	e := &soakEndpoint{
		name: name, record: record, random: rand.New(rand.NewPCG(seed, 1)), faulty: faulty, slowUntil: 60 * time.Millisecond,
	}
	e.address = scripted.ServeConns(t, func(conn *net.TCPConn) { go e.serve(conn) })
	return e
}

// line returns the endpoint's line in a list of discovery.
func (e *soakEndpoint) line() map[string]any {
	return scripted.Line(e.name, e.address)
}

// hang makes the endpoint answer nothing from now on.
func (e *soakEndpoint) hang() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hanging = true
}

// draw decides what happens to a request, and how long it takes.
func (e *soakEndpoint) draw() (endpointFault, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	work := time.Duration(e.random.Int64N(int64(e.slowUntil)))
	if e.hanging {
		return faultHang, 0
	}
	if e.random.Float64() < e.faulty {
		return endpointFault(1 + e.random.IntN(int(numEndpointFaults)-1)), work
	}
	return faultNone, work
}

// serve serves the requests of a connection.
func (e *soakEndpoint) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !e.readBody(request) {
			return
		}
		id := request.Header.Get("X-Txn")
		e.record.arrived(id)
		if e.isBad() {
			e.record.ran(id)
			e.record.writesSlowly(id)
			if !writeSlowly(conn, id) {
				return
			}
			continue
		}
		if !e.answer(conn, reader, id) {
			return
		}
	}
}

// answer answers one request and reports whether the connection goes on.
func (e *soakEndpoint) answer(conn net.Conn, reader io.Reader, id string) bool {
	fault, work := e.draw()
	if fault != faultTurnedAway {
		e.record.ran(id)
	}
	if fault == faultHalf || fault == faultNoEnd || fault == faultStall {
		e.record.breaksOff(id)
	}
	time.Sleep(work)
	reset := func() { conn.(*net.TCPConn).SetLinger(0) } //nolint:errcheck // the connection may have ended
	switch fault {
	case faultHang:
		io.Copy(io.Discard, reader) //nolint:errcheck // it ends with the connection
		return false
	case faultReset:
		reset()
		return false
	case faultHalf:
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n%s", id)
		reset()
		return false
	case faultNoEnd:
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s", id[:len(id)/2])
		time.Sleep(work)
		reset()
		return false
	case faultStall:
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s", id[:len(id)/2])
		io.Copy(io.Discard, reader) //nolint:errcheck // it ends with the connection
		return false
	case faultLong:
		return writeLong(conn, id, work)
	case faultError:
		io.WriteString(conn, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n") //nolint:errcheck // the next read shows it
		return true
	case faultTurnedAway:
		io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n") //nolint:errcheck // as above
		return true
	}
	if _, err := io.WriteString(conn, scripted.OK(id)); err != nil {
		return false
	}
	if fault == faultSecond {
		begin := time.Now()
		time.Sleep(2 * time.Millisecond)
		if time.Since(begin) > secondAnswerLimit {
			return false // the machine is late: the next request may be on its way
		}
		io.WriteString(conn, scripted.OK("of no request")) //nolint:errcheck // the connection is expected to end
	}
	return fault != faultClose
}

// longPieces is how many pieces a long body of a soak has.
const longPieces = 40

// longPiece returns a piece of the body of a long answer to a request: 4 KiB that are filled with its id.
func longPiece(id string) string { return strings.Repeat(id+" ", 4<<10/(len(id)+1)) }

// writeLong writes a long answer in pieces, over the given time and more, and reports whether the connection goes on.
func writeLong(conn net.Conn, id string, over time.Duration) bool {
	piece := longPiece(id)
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", longPieces*len(piece)); err != nil {
		return false
	}
	for range longPieces {
		if _, err := io.WriteString(conn, piece); err != nil {
			return false
		}
		time.Sleep(over / longPieces)
	}
	return true
}

// isBad reports whether a request, or its body, meets a peer that is slow.
func (e *soakEndpoint) isBad() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.badBodies > 0 && e.random.Float64() < e.badBodies
}

// readBody reads a request's body: large ones now and then slowly, or only in part. It reports whether it was read whole.
func (e *soakEndpoint) readBody(request *http.Request) bool {
	large := request.ContentLength < 0 || request.ContentLength > longBodyMin
	switch {
	case !large || !e.isBad():
	case e.isBad(): // rarer than the other
		io.CopyN(io.Discard, request.Body, 20<<10) //nolint:errcheck // then it reads no more
		time.Sleep(3 * time.Second)                // more than any request waits
		return false
	default:
		const rate, pause = 800_000, 20 * time.Millisecond
		e.record.readsSlowly(request.Header.Get("X-Txn"))
		for {
			if _, err := io.CopyN(io.Discard, request.Body, rate*int64(pause)/int64(time.Second)); err == io.EOF {
				return true
			} else if err != nil {
				return false
			}
			time.Sleep(pause)
		}
	}
	_, err := io.Copy(io.Discard, request.Body)
	return err == nil
}

// writeSlowly writes a long answer in chunks, over some two seconds, and reports whether the connection goes on.
func writeSlowly(conn net.Conn, id string) bool {
	const pause = 50 * time.Millisecond
	piece := longPiece(id)
	if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return false
	}
	for range longPieces {
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(piece), piece); err != nil {
			return false
		}
		time.Sleep(pause)
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}
