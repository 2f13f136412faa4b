package lifecycle

import (
	"bytes"
	"os"
	"runtime/metrics"
	"strconv"
	"time"

	"github.com/rs/zerolog"
)

// memoryUsage is what the process uses of its memory, in bytes. It is written to log lines and to the metrics.
type memoryUsage struct {
	Resident int64 // as the kernel counts it; 0 if it can't be read
	Peak     int64 // the largest Resident so far; 0 if it can't be read
	Objects  int64 // objects of the heap, live or not collected yet
	Stacks   int64 // stacks of goroutines
	Runtime  int64 // all that the runtime has from the system, the heap and stacks included
}

// Names of runtime/metrics.
const (
	metricObjects  = "/memory/classes/heap/objects:bytes"
	metricStacks   = "/memory/classes/heap/stacks:bytes"
	metricTotal    = "/memory/classes/total:bytes"
	metricReleased = "/memory/classes/heap/released:bytes"
)

// processStatusFile is where the kernel reports the memory of this process.
const processStatusFile = "/proc/self/status"

// readMemoryUsage returns what the process uses now.
func readMemoryUsage() memoryUsage {
	samples := []metrics.Sample{{Name: metricObjects}, {Name: metricStacks}, {Name: metricTotal}, {Name: metricReleased}}
	metrics.Read(samples)
	value := func(i int) int64 { return int64(samples[i].Value.Uint64()) }
	usage := memoryUsage{Objects: value(0), Stacks: value(1), Runtime: value(2) - value(3)}
	status, err := os.ReadFile(processStatusFile)
	if err != nil {
		return usage
	}
	usage.Resident = statusField(status, "VmRSS:")
	usage.Peak = statusField(status, "VmHWM:")
	return usage
}

// statusField returns a field of the kernel's status file, which is in kB, in bytes; 0 if it is missing.
func statusField(status []byte, name string) int64 {
	for line := range bytes.Lines(status) {
		rest, found := bytes.CutPrefix(line, []byte(name))
		if fields := bytes.Fields(rest); found && len(fields) > 0 {
			kb, _ := strconv.ParseInt(string(fields[0]), 10, 64) // 0 if it is no number
			return kb << 10
		}
	}
	return 0
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (u memoryUsage) MarshalZerologObject(ev *zerolog.Event) {
	ev.Int64("resident_kb", u.Resident>>10).Int64("peak_kb", u.Peak>>10).Int64("objects_kb", u.Objects>>10).
		Int64("stacks_kb", u.Stacks>>10).Int64("runtime_kb", u.Runtime>>10)
}

// Parameters of the memory watch.
const (
	memoryCheckInterval = 250 * time.Millisecond
	memoryWarnShare     = 0.75        // of the memory limit: from there on the usage is logged
	memoryWarnInterval  = time.Second // between two such lines at least
)

// watchMemory logs what the process uses, and what its connections are doing, while that is near the limit. It returns when the
// engine has stopped.
func (s *Sidecar) watchMemory() {
	ticker := time.NewTicker(memoryCheckInterval)
	defer ticker.Stop()
	var lastLine time.Time
	for {
		select {
		case <-s.engineDone:
			return
		case now := <-ticker.C:
			usage := readMemoryUsage()
			near := float64(usage.Resident) > memoryWarnShare*float64(s.conf.MemoryBytes)
			if near && now.Sub(lastLine) >= memoryWarnInterval {
				lastLine = now
				s.log.Warn().Int64("limit_kb", s.conf.MemoryBytes>>10).Object("memory", usage).
					Object("connections", connStates(s.callers.States())).Msg("memory is near its limit")
			}
		}
	}
}
