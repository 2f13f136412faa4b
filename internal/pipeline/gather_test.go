package pipeline

import (
	"strings"
	"testing"

	"heathgap/decide"
	"heathgap/internal/httpwire"
	"heathgap/internal/lab/scripted"
)

// Guards against a write to the endpoint for each chunk of a body: chunks of one byte that have come are passed on together. Each byte
// is passed on before the caller is waited for.
func TestTinyChunksArePassedOnTogether(t *testing.T) {
	const chunks, mostWrites = 3 * httpwire.MaxBuffered, 400
	s := startStagedSidecar(t, func(s *stagedSidecar) {
		close(s.env.allowWatch)
		s.balancer = decisionFunc(func(ev *decide.Event) []decide.Action {
			if ev.Kind == decide.Arrived {
				return []decide.Action{sendTo(s, ev.Request, 0)}
			}
			return nil
		})
	})
	peer := scripted.Connect(t, s.address)
	peer.Send("POST /burn HTTP/1.1\r\nHost: x\r\nX-Txn: 1\r\nX-Remaining: 9\r\nTransfer-Encoding: chunked\r\n\r\n")
	written := make(chan struct{})
	go func() {
		defer close(written)
		peer.Send(strings.Repeat("1\r\nz\r\n", chunks))
	}()
	to := s.listeners[0].Accept()
	got := ""
	buf := make([]byte, 1<<16)
	for strings.Count(got, "z") < chunks { // all of them come, though the body has no end yet
		n, err := to.Read(buf)
		if err != nil {
			t.Fatalf("%d of %d bytes: %v", strings.Count(got, "z"), chunks, err)
		}
		text := string(buf[:n])
		if _, body, found := strings.Cut(text, "\r\n\r\n"); found && got == "" {
			text = body
		}
		got += strings.ReplaceAll(text, "\r\n", "")
	}
	<-written
	if n := s.env.writes(s.listeners[0].Address); n > mostWrites {
		t.Errorf("%d writes for %d chunks, %d are allowed", n, chunks, mostWrites)
	}
	peer.Close()
	s.end()
}
