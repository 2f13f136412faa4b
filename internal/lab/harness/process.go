package harness

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"heathgap/internal/lab/record"
)

// Times of processes.
const (
	readyTimeout    = 15 * time.Second // for a start, until GET /up answers
	exitTimeout     = 5 * time.Second  // for a killed process to be gone
	countersTimeout = 5 * time.Second  // for the line with the counters
	pollInterval    = 5 * time.Millisecond
	maxLogLine      = 1 << 20 // bytes of one log line
)

// process is one start of a sidecar's program.
type process struct {
	cmd      *exec.Cmd
	name     string
	counters chan *record.Counters
	onLine   func(line string) // is told each line of its log; nil for nobody
	exited   chan struct{}     // closed when it has ended

	mu           sync.Mutex
	stoppedByLab bool // the lab has ended it
	lastLine     string
}

// startProcess starts a sidecar's program with its configuration; its log goes on
// to a file where there is one.
func startProcess(cmd *exec.Cmd, name, config, logPath string) (*process, error) {
	return startProcessWatched(cmd, name, config, logPath, nil)
}

func startProcessWatched(cmd *exec.Cmd, name, config, logPath string, watch func(line string)) (*process, error) {
	p := &process{cmd: cmd, name: name, counters: make(chan *record.Counters, 8), onLine: watch, exited: make(chan struct{})}
	if cmd.Env == nil {
		cmd.Env = os.Environ()
	}
	cmd.Env = append(cmd.Env, "BALANCER_CONFIG="+config)
	// A group of its own: an interrupt from a terminal is the lab's, which then ends
	// all it has started. If the lab itself is killed, they die with it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	var logFile io.WriteCloser
	if logPath != "" {
		if logFile, err = os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644); err != nil {
			return nil, err
		}
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("sidecar %s: %w", name, err)
	}
	go p.readLog(out, logFile)
	return p, nil
}

// readLog reads the log to its end, and then the process's.
func (p *process) readLog(out io.Reader, logFile io.WriteCloser) {
	defer close(p.exited)
	lines := bufio.NewScanner(out)
	lines.Buffer(make([]byte, 0, 4096), maxLogLine)
	for lines.Scan() {
		line := lines.Text()
		if logFile != nil {
			fmt.Fprintln(logFile, line)
		}
		p.mu.Lock()
		p.lastLine = line
		p.mu.Unlock()
		if p.onLine != nil {
			p.onLine(line)
		}
		if strings.Contains(line, `"message":"counters"`) {
			p.parseCounters(line)
		}
	}
	io.Copy(io.Discard, out) //nolint:errcheck // a line that is too long must not block it
	if logFile != nil {
		logFile.Close()
	}
	p.cmd.Wait() //nolint:errcheck // how it ended is asked of the process state
}

func (p *process) parseCounters(line string) {
	var entry struct {
		Counters record.Counters `json:"counters"`
	}
	if err := json.Unmarshal([]byte(line), &entry); err != nil {
		return
	}
	select {
	case p.counters <- &entry.Counters:
	default: // nobody has asked
	}
}

// ended tells whether it has, without having been asked to.
func (p *process) crashed() bool {
	select {
	case <-p.exited:
	default:
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.stoppedByLab
}

// requestCounters asks for its counters.
func (p *process) requestCounters() *record.Counters {
	for len(p.counters) > 0 {
		<-p.counters
	}
	if p.signal(syscall.SIGUSR1) != nil {
		return nil
	}
	select {
	case c := <-p.counters:
		return c
	case <-p.exited:
	case <-time.After(countersTimeout):
	}
	return nil
}

func (p *process) signal(s os.Signal) error { return p.cmd.Process.Signal(s) }

// stop tells it to end with a signal; it is the lab's doing.
func (p *process) stop(s os.Signal) {
	p.mu.Lock()
	p.stoppedByLab = true
	p.mu.Unlock()
	p.signal(s) //nolint:errcheck // it may have ended by itself
}

// wait waits until it is gone; false after the time.
func (p *process) wait(timeout time.Duration) bool {
	select {
	case <-p.exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// usage is what a process takes of the machine.
type usage struct {
	rssMB float64
	cpu   float64
	fds   int
}

// clockTicks are the kernel's, a second: all Linux platforms of Go have 100.
const clockTicks = 100

// usage reads it from /proc.
func (p *process) usage() (u usage, err error) {
	dir := filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid))
	status, err := os.ReadFile(filepath.Join(dir, "status"))
	if err != nil {
		return u, err
	}
	for line := range strings.SplitSeq(string(status), "\n") {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.Fields(value)[0])
			if err != nil {
				return u, err
			}
			u.rssMB = float64(kb) / 1024
		}
	}
	stat, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		return u, err
	}
	// What follows the name, which is in brackets: field 3 on; 14 and 15 are times.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	if len(fields) < 13 {
		return u, errors.New("/proc: a stat that is too short")
	}
	for _, f := range fields[11:13] {
		ticks, err := strconv.Atoi(f)
		if err != nil {
			return u, err
		}
		u.cpu += float64(ticks) / clockTicks
	}
	fds, err := os.ReadDir(filepath.Join(dir, "fd"))
	u.fds = len(fds)
	return u, err
}
