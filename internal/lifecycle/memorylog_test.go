package lifecycle

import (
	"strings"
	"syscall"
	"testing"
	"time"

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

// What the memory watch does about a usage, in turn. Guards against a process that passes its limit by what no limit counts, and against
// one whose limits are lowered and never raised again.
func TestMemoryWatch(t *testing.T) {
	const limit = 1000
	watch := memoryWatch{limit: limit}
	begin := time.Now()
	for i, c := range []struct {
		after    time.Duration
		resident int64
		want     memoryActions
	}{
		{0, 700, memoryActions{}},
		{0, 750, memoryActions{log: true}},
		{memoryWarnInterval / 2, 870, memoryActions{}},
		{memoryWarnInterval / 2, 880, memoryActions{change: true, free: true}},
		{memoryWarnInterval, 850, memoryActions{log: true}},
		{memoryWarnInterval, 990, memoryActions{}},
		{memoryWarnInterval/2 + freeMemoryInterval, 850, memoryActions{free: true}},
		{memoryWarnInterval/2 + freeMemoryInterval, 799, memoryActions{change: true}},
		{memoryWarnInterval/2 + freeMemoryInterval, 870, memoryActions{}},
	} {
		if got := watch.check(begin.Add(c.after), memoryUsage{Resident: c.resident}); got != c.want {
			t.Errorf("step %d, %d of %d: %+v, want %+v", i, c.resident, limit, got, c.want)
		}
	}
}

// Limits that are lowered while memory is scarce hold beside those of an upgrade, and are the configured ones again afterwards.
func TestLoweredLimits(t *testing.T) {
	s := start(t, scripted.SidecarConfig(scripted.StartDiscovery(t)))
	room := func() (bodies int64) { return s.bodyMemory.Available() }
	for _, c := range []struct {
		shares int
		high   bool
		want   int64
	}{
		{1, false, s.conf.BodyBytes}, {1, true, s.conf.BodyBytes * 3 / 4}, {2, true, s.conf.BodyBytes / 2 * 3 / 4},
		{2, false, s.conf.BodyBytes / 2}, {1, false, s.conf.BodyBytes},
	} {
		s.limits.divide(s.Sidecar, c.shares)
		s.limits.setMemoryHigh(s.Sidecar, c.high)
		if got := room(); got != c.want {
			t.Errorf("%+v: %d bytes for bodies", c, got)
		}
	}
}
