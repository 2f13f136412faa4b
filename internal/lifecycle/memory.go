package lifecycle

import (
	"bytes"
	"os"
	"runtime/debug"
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

// Parameters of the memory watch. Shares are of the memory limit.
const (
	memoryCheckInterval = 100 * time.Millisecond
	memoryWarnShare     = 0.75        // from there on the usage is logged
	memoryWarnInterval  = time.Second // between two such lines at least
	memoryHighShare     = 0.88        // from there on limits are lowered
	memoryLowShare      = 0.8         // below it they are the usual ones again
	freeMemoryInterval  = time.Second // between two collections for the system at least: each takes milliseconds
)

// memoryWatch compares what the process uses with its limit.
type memoryWatch struct {
	limit     int64 // bytes; 0 for none
	high      bool  // limits are lowered
	lastLine  time.Time
	lastFreed time.Time
}

// memoryActions says what has to be done about the present usage.
type memoryActions struct {
	log    bool // write a line
	change bool // the limits are to be changed
	free   bool // return free memory to the system
}

// check returns what has to be done about a usage.
func (w *memoryWatch) check(now time.Time, usage memoryUsage) (do memoryActions) {
	share := float64(usage.Resident) / float64(w.limit)
	if share >= memoryWarnShare && now.Sub(w.lastLine) >= memoryWarnInterval {
		w.lastLine, do.log = now, true
	}
	if !w.high && share >= memoryHighShare || w.high && share < memoryLowShare {
		w.high, do.change = !w.high, true
	}
	if w.high && now.Sub(w.lastFreed) >= freeMemoryInterval {
		w.lastFreed, do.free = now, true
	}
	return do
}

// watchMemory logs what the process uses, and what its connections are doing, while that is near the limit, and lowers the limits of
// connections and of memory for bodies while it is very near. Guards against what those limits don't count. It returns when the
// engine has stopped.
func (s *Sidecar) watchMemory() {
	watch := memoryWatch{limit: s.conf.MemoryBytes}
	ticker := time.NewTicker(memoryCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.engineDone:
			return
		case now := <-ticker.C:
			usage := readMemoryUsage()
			do := watch.check(now, usage)
			if do.log || do.change {
				s.log.Warn().Int64("limit_kb", watch.limit>>10).Bool("limits_lowered", watch.high).Object("memory", usage).
					Object("connections", connStates(s.callers.States())).Msg("memory is near its limit")
			}
			if do.change {
				s.limits.setMemoryHigh(s, watch.high)
			}
			if do.free {
				debug.FreeOSMemory()
			}
		}
	}
}
