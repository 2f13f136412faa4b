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

// Times and sizes of processes.
const (
	readyTimeout    = 15 * time.Second     // from the start until GET /up answers
	exitTimeout     = 5 * time.Second      // for a killed process to end
	countersTimeout = 5 * time.Second      // for the log line with the counters
	pollInterval    = 5 * time.Millisecond // between two checks whether something is ready
	maxLogLine      = 1 << 20              // bytes of one log line
)

// process is one start of a sidecar's program.
type process struct {
	cmd      *exec.Cmd
	name     string
	counters chan *record.Counters // receives the counters from the log
	onLine   func(line string)     // receives each line of the log; nil for none
	exited   chan struct{}         // closed when the process has ended

	mu           sync.Mutex
	stoppedByLab bool   // the lab sent it a signal to end
	lastLine     string // of the log
}

// startProcess starts a sidecar's program with the configuration file config. The log of the process is appended to the file
// logPath, unless that is empty.
func startProcess(cmd *exec.Cmd, name, config, logPath string) (*process, error) {
	return startProcessWatched(cmd, name, config, logPath, nil)
}

// startProcessWatched is startProcess with a function that receives each line of the log.
func startProcessWatched(cmd *exec.Cmd, name, config, logPath string, watch func(line string)) (*process, error) {
	p := &process{cmd: cmd, name: name, counters: make(chan *record.Counters, 8), onLine: watch, exited: make(chan struct{})}
	if cmd.Env == nil {
		cmd.Env = os.Environ()
	}
	cmd.Env = append(cmd.Env, "BALANCER_CONFIG="+config)
	// The process has its own process group: an interrupt from a terminal reaches only the lab, which then stops all processes
	// that it started. If the lab itself is killed, the kernel kills the process too.
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

// readLog reads the log until its end, and then waits for the end of the process.
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
	io.Copy(io.Discard, out) //nolint:errcheck // the process must not block on a line that is too long
	if logFile != nil {
		logFile.Close()
	}
	p.cmd.Wait() //nolint:errcheck // how it ended is read from the process state
}

// parseCounters passes on the counters of a log line.
func (p *process) parseCounters(line string) {
	var entry struct {
		Counters record.Counters `json:"counters"`
	}
	if err := json.Unmarshal([]byte(line), &entry); err != nil {
		return
	}
	select {
	case p.counters <- &entry.Counters:
	default: // the buffer is full, since nobody has requested counters
	}
}

// crashed reports whether the process has ended although the lab did not stop it.
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

// requestCounters asks the process for its counters with SIGUSR1 and returns them. It returns nil if none come within
// countersTimeout.
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

// stop sends a signal that ends the process, and records that the lab ended it.
func (p *process) stop(s os.Signal) {
	p.mu.Lock()
	p.stoppedByLab = true
	p.mu.Unlock()
	p.signal(s) //nolint:errcheck // the process may have ended by itself
}

// wait waits until the process has ended. It returns false if timeout passes before.
func (p *process) wait(timeout time.Duration) bool {
	select {
	case <-p.exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// usage is the resource usage of a process.
type usage struct {
	rssMB float64 // peak
	cpu   float64 // seconds of CPU time, in user and kernel mode
	fds   int
}

// clockTicks is the number of the kernel's clock ticks in a second: 100 on all Linux platforms of Go.
const clockTicks = 100

// usage reads the resource usage of the process from /proc.
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
	// The name is in parentheses. What follows it begins with field 3; fields 14 and 15 are the CPU times.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	if len(fields) < 13 {
		return u, errors.New("/proc: the stat file of the process has too few fields")
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
