package lifecycle

import (
	"strings"
	"syscall"
	"testing"

	"heathgap/internal/lab/scripted"
)

// chunkedAnswer is an answer in chunks, with a trailer, and chunkedEnd are the parts of it behind the last byte of its body.
const (
	chunkedAnswer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
	chunkedEnd    = "0\r\nX-Sum: 1\r\n\r\n"
)

// awaitText reads from a caller's connection until a text has come, and returns all that has.
func awaitText(t *testing.T, caller *scripted.Peer, text string) string {
	t.Helper()
	var got strings.Builder
	for buf := make([]byte, 1024); !strings.Contains(got.String(), text); {
		n, err := caller.Read(buf)
		got.Write(buf[:n])
		if err != nil {
			t.Fatalf("%q, then %v; want %q", got.String(), err, text)
		}
	}
	return got.String()
}

// Guards against an answer that is broken off though it comes whole and in time: its endpoint writes the rest only when its beginning
// has been passed on.
func TestLastChunkThatComesInPieces(t *testing.T) {
	endpoint := scripted.Listen(t)
	s := start(t, scripted.SidecarConfig(scripted.StartDiscovery(t), scripted.Line("e1", endpoint.Address)))
	for cut := range len(chunkedEnd) {
		caller := scripted.Connect(t, s.Address())
		caller.Send(requestText("/look", ""))
		attempt := endpoint.Accept()
		attempt.ReadRequest()
		attempt.Send(chunkedAnswer + chunkedEnd[:cut])
		awaitText(t, caller, "hello\r\n")
		attempt.Send(chunkedEnd[cut:])
		awaitText(t, caller, "0\r\n\r\n")
		caller.Close()
		attempt.Close()
	}
}

// Guards against an answer that an upgrade breaks off: it is handed over between the parts of its last chunk, and its endpoint writes
// the rest only when the old process has ended.
func TestLastChunkOverAnUpgrade(t *testing.T) {
	endpoint := scripted.Listen(t)
	conf, address := upgradeConfig(t, scripted.StartDiscovery(t), scripted.Line("e1", endpoint.Address))
	setDeadlines(conf, patience.Seconds()*1000)
	old, _ := launchReady(t, conf)
	type exchange struct{ caller, attempt *scripted.Peer }
	var exchanges []exchange
	for cut := range len(chunkedEnd) {
		caller := scripted.Connect(t, address)
		caller.Send(strings.Replace(requestText("/look", ""), "X-Remaining: 1.9", "X-Remaining: 19", 1))
		attempt := endpoint.Accept()
		attempt.ReadRequest()
		attempt.Send(chunkedAnswer + chunkedEnd[:cut])
		awaitText(t, caller, "hello\r\n")
		exchanges = append(exchanges, exchange{caller, attempt})
	}
	next, _ := launchReady(t, conf)
	old.Process.Signal(syscall.SIGTERM)
	if err := old.Wait(); err != nil {
		t.Errorf("the old process: %v", err)
	}
	for cut, x := range exchanges {
		x.attempt.Send(chunkedEnd[cut:])
		awaitText(t, x.caller, "0\r\n\r\n")
	}
	next.Process.Signal(syscall.SIGTERM)
	if err := next.Wait(); err != nil {
		t.Errorf("the new process: %v", err)
	}
}
