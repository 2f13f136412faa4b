package lifecycle

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"heathgap/internal/lab/scripted"
)

// Guards against an answer that stalls behind an upgrade and is not broken off in time: the process that goes on with it must know its
// request's deadline.
func TestAnswerThatStallsBehindAnUpgradeEndsInTime(t *testing.T) {
	const late = 500 * time.Millisecond // an answer that ends later than that behind its time is lost
	for name, answer := range map[string]string{
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
		"end":    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello",
	} {
		t.Run(name, func(t *testing.T) {
			endpoint := scripted.Listen(t)
			conf, address := upgradeConfig(t, scripted.StartDiscovery(t), scripted.Line("e1", endpoint.Address))
			setDeadlines(conf, 5000)
			old, _ := launchReady(t, conf)
			caller := scripted.Connect(t, address)
			caller.Send(strings.Replace(textUnder("look", newID()), "1.9", "4", 1))
			due := time.Now().Add(4 * time.Second)
			attempt := endpoint.Accept()
			attempt.ReadRequest()
			attempt.Send(answer)
			awaitText(t, caller, "hello")
			launchReady(t, conf)
			old.Process.Signal(syscall.SIGTERM) //nolint:errcheck // it lives
			if err := old.Wait(); err != nil {
				t.Fatal(err)
			}
			if time.Now().After(due) {
				t.Fatal("the upgrade took longer than the request waits: the run shows nothing")
			}
			caller.SetReadDeadline(due.Add(late)) //nolint:errcheck // the read shows it
			if text, err := caller.ReadToEnd(); err != nil || strings.Contains(text, "0\r\n\r\n") {
				t.Errorf("%q, %v; want the connection's end within %v of the request's time, and no end of the answer", text, err, late)
			}
		})
	}
}
