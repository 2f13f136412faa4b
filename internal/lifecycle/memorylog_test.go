package lifecycle

import (
	"strings"
	"syscall"
	"testing"

	"heathgap/internal/lab/scripted"
)

// The log tells what the process uses of its memory, why a request is answered 400, and how much of a long body has come.
func TestLogOfMemoryAndBodies(t *testing.T) {
	endpoint := scripted.Listen(t)
	conf := scripted.SidecarConfig(scripted.StartDiscovery(t), scripted.Line("e1", endpoint.Address))
	address, console := scripted.FreeAddress(t), scripted.FreeAddress(t)
	conf["listen"], conf["console"] = address, console
	conf["limits"] = map[string]any{"cores": 1.0, "memory_mb": 12, "sockets": 64} // little more than the program itself takes
	p := launch(t, conf)
	eventually(t, "ready", isReady(t, address))
	unknown := scripted.Connect(t, address)
	unknown.Send(requestText("/nothing", ""))
	if status, _ := unknown.ReadAnswer(); status != 400 {
		t.Errorf("an unknown class: %d, want 400", status)
	}
	unknown.Close()
	caller := scripted.Connect(t, address)
	caller.Send(postHead("Content-Length: 200000") + strings.Repeat("b", 100_000))
	endpoint.Accept().Close()
	caller.ReadAnswer()
	p.Process.Signal(syscall.SIGUSR1) //nolint:errcheck // its line shows it
	for _, want := range []string{
		`"problem":"path: unknown class`, `"body":{"length":200000,"received":`, `"connection":"`, `"message":"memory is near its limit"`, `"resident_kb":`,
	} {
		eventually(t, "the log has "+want, func() bool { return strings.Contains(p.log.String(), want) })
	}
	if stats := readStats(t, console); stats["memory_kb"] <= 0 || stats["memory_peak_kb"] < stats["memory_kb"] {
		t.Errorf("memory in STATS: %d kB, at most %d kB", stats["memory_kb"], stats["memory_peak_kb"])
	}
}
