package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// run is one run of a case: its folder, its processes and its record.
type run struct {
	trouble bool   // false: the same without the disruption
	dir     string // temporary folder
	sockets int    // a sidecar's limit of descriptors
	memory  int    // its limit of memory in MB
	quiet   bool   // single orders are not noted
	bin     string // folder of the project's programs
	began   time.Time

	mu     sync.Mutex
	record *os.File
	procs  []*process
	lastID int
}

// errCannotRun is the panic value of fail.
type errCannotRun struct{ why string }

// fail ends the case: it could not run.
func (r *run) fail(format string, args ...any) {
	panic(errCannotRun{fmt.Sprintf(format, args...)})
}

// note writes a line of the record.
func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	r.record.WriteString(line) //nolint:errcheck // the record is for people
	os.Stdout.WriteString(line)
}

// freeAddress returns a loopback address that is free now. Its port is below those that the system gives to connections by default, since
// one of these might take it before it is listened on.
func (r *run) freeAddress() string {
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(20000))
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address
		}
	}
	r.fail("no free port")
	return ""
}

// process is a process of the project that the case has started.
type process struct {
	name   string
	cmd    *exec.Cmd
	listen string // for callers
	table  string // the operator's file
	conf   string // the configuration's file
	exited chan struct{}
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) { p.cmd.Process.Signal(s) } //nolint:errcheck // it may have ended

// start starts a command of the project. Its log goes to a file in the temporary folder.
func (r *run) start(name string, env []string, args ...string) *process {
	log, err := os.Create(filepath.Join(r.dir, name+".log"))
	if err != nil {
		r.fail("%v", err)
	}
	cmd := exec.Command(filepath.Join(r.bin, "heathgap"), args...)
	cmd.Env, cmd.Stdout, cmd.Stderr = append(os.Environ(), env...), log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		r.fail("%v", err)
	}
	p := &process{name: name, cmd: cmd, exited: make(chan struct{})}
	go func() {
		cmd.Wait() //nolint:errcheck // how it ended is not asked
		close(p.exited)
		log.Close()
	}()
	r.procs = append(r.procs, p)
	return p
}

// endAll kills all processes that the case has started.
func (r *run) endAll() {
	for _, p := range r.procs {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
}

// class is a class of requests in the settings.
type class struct {
	name, effect string
	window       int // ms
}

// configure writes a sidecar's configuration and returns its path.
func (r *run) configure(name, listen string, settings map[string]any, discovery string, known []listed) string {
	conf := map[string]any{
		"name": name, "listen": listen, "discovery": discovery, "seed": fmt.Sprintf("%x", rand.Uint64()),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": r.memory, "sockets": r.sockets},
		"known":    map[string]any{"index": knownIndex, "snapshot": true, "endpoints": known},
		"settings": settings,
	}
	text, err := json.Marshal(conf)
	if err != nil {
		r.fail("%v", err)
	}
	path := filepath.Join(r.dir, name+".json")
	if err := os.WriteFile(path, text, 0o644); err != nil {
		r.fail("%v", err)
	}
	return path
}

// settings returns the settings of a small deployment.
func settings(zone string, me, peers int, classes ...class) map[string]any {
	profiles := []map[string]any{}
	for _, c := range classes {
		p := map[string]any{"name": c.name, "effect": c.effect, "group": "all", "aim": 500, "deadline": 2000, "worth": 1}
		if c.window > 0 {
			p["window"] = c.window
		}
		profiles = append(profiles, p)
	}
	return map[string]any{
		"az": zone, "me": me, "replicas_of_me": peers, "membership_mode": "subscribe", "tier": 0, "stages": []string{"one"}, "tick": 2,
		"profiles": profiles, "over_share_worth": 0.1,
		"bounds": map[string]any{"cancel": true, "conn_idle": 10000, "connect_timeout": 250, "max_attempts": 2, "most_held": 500},
		"rules": map[string]any{"answer_slack": 50, "ask_every": 2000, "cold": 1000, "cold_from": 0.5, "drain_grace": 1000,
			"fall_multiple": 50, "overload_for": 5000},
	}
}

// crew starts a crew of the named sidecars, the first three as its keepers, each in a zone of its own. holdings is the table of the
// operator's file, empty for none.
func (r *run) crew(names []string, classes []class, discovery string, known []listed, holdings string) []*process {
	addresses := map[string]string{}
	keepers := ""
	for i, name := range names {
		addresses[name] = r.freeAddress()
		if i < 3 {
			keepers += fmt.Sprintf("[[crew.keeper]]\nname = %q\naddress = %q\n", name, addresses[name])
		}
	}
	var out []*process
	for i, name := range names {
		table := fmt.Sprintf("[crew]\nname = \"review\"\naddress = %q\ndata = %q\n%s%s", addresses[name], filepath.Join(r.dir, name+"-data"), keepers, holdings)
		path := filepath.Join(r.dir, name+".toml")
		if err := os.WriteFile(path, []byte(table), 0o644); err != nil {
			r.fail("%v", err)
		}
		listen := r.freeAddress()
		conf := r.configure(name, listen, settings(string(rune('a'+i)), i, len(names), classes...), discovery, known)
		p := r.start(name, []string{"BALANCER_CONFIG=" + conf}, "serve", "--operator", path)
		p.listen, p.table, p.conf = listen, path, conf
		out = append(out, p)
	}
	for _, p := range out {
		r.awaitUp(p)
	}
	return out
}

// awaitUp waits until a sidecar answers that it is ready.
func (r *run) awaitUp(p *process) {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if a := r.ask(p.listen, "GET /up HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n", time.Second); a.status == 200 {
			return
		}
	}
	r.fail("%s is not ready within 30 s", p.name)
}

// awaitLease waits until a member acts cautiously, or has a lease and so does not.
func (r *run) awaitLease(p *process, cautious bool) {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if text, err := os.ReadFile(filepath.Join(r.dir, p.name+".log")); err == nil {
			lines := strings.Split(string(text), "\n")
			for i := len(lines) - 1; i >= 0; i-- {
				if strings.Contains(lines[i], "rules in force") {
					if strings.Contains(lines[i], fmt.Sprintf("\"cautious\":%v", cautious)) {
						r.note("%s's log: rules in force, cautious %v", p.name, cautious)
						return
					}
					break
				}
			}
		}
	}
	r.fail("%s: cautious does not become %v", p.name, cautious)
}

// answer is what a client got.
type answer struct {
	status int // 0: no whole answer
	body   string
	err    error
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer (%v)", a.err)
	}
	return fmt.Sprintf("%d %q", a.status, strings.TrimSpace(a.body))
}

// ask sends a request on a connection of its own and reads the answer.
func (r *run) ask(address, message string, within time.Duration) answer {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(within)) //nolint:errcheck // a failure shows with the read
	if _, err := io.WriteString(conn, message); err != nil {
		return answer{err: err}
	}
	m, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return answer{err: err}
	}
	defer m.Body.Close()
	body, err := io.ReadAll(m.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{m.StatusCode, string(body), nil}
}

// id returns a new id for a request.
func (r *run) id() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastID++
	return fmt.Sprintf("%016x", 0x1b1f03aa00000000+r.lastID)
}

// order sends a keyed request through a sidecar, waits for its answer and notes both.
func (r *run) order(p *process, class, key string, within time.Duration) answer {
	id, body := r.id(), "order "+key
	a := r.ask(p.listen, fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: s\r\nX-Txn: %s\r\nX-Remaining: %.3f\r\nIdempotency-Key: %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		class, id, within.Seconds(), key, len(body), body), within+time.Second)
	if !r.quiet {
		r.note("client: order %+q through %s (id %s): %v", key, p.name, id, a)
	}
	return a
}

// payOnce sends a request of a class that may not be repeated: a POST with no key. The path names the payment.
func (r *run) payOnce(p *process, class, payment string, within time.Duration) answer {
	id, body := r.id(), "pay "+payment
	a := r.ask(p.listen, fmt.Sprintf("POST /%s/%s HTTP/1.1\r\nHost: s\r\nX-Txn: %s\r\nX-Remaining: %.3f\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		class, payment, id, within.Seconds(), len(body), body), within+time.Second)
	r.note("client: %s through %s (id %s, no key): %v", payment, p.name, id, a)
	return a
}

// command runs a command of the project and returns what it printed.
func (r *run) command(within time.Duration, args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(r.bin, "heathgap"), args...)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	if err := cmd.Start(); err != nil {
		return "", err
	}
	timer := time.AfterFunc(within, func() { cmd.Process.Kill() }) //nolint:errcheck // it has ended then
	defer timer.Stop()
	err := cmd.Wait()
	return strings.TrimSpace(out.String()), err
}

// listed is an entry of discovery's list.
type listed struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	Since   int64   `json:"since_ms"`
}

// request is what an endpoint read.
type request struct {
	at                time.Time // when its last byte had come
	class, id, key    string
	payment           string // what a POST with no key names in its path
	remaining, method string
}

// What a behaviour tells an endpoint to do with a request.
const (
	serve    = iota // run it and answer
	runReset        // run it and reset the connection instead of answering
	turnAway        // don't run it: 503 with X-Turned-Away: 1
)

// service is the stand-in of the endpoints: all of them share the memory of keys (group "all").
type service struct {
	r *run

	mu       sync.Mutex
	work     time.Duration // how long a request without a key takes
	padding  string        // of every second answer to a request with a key
	memory   time.Duration // for how long the repeat of a key is dropped
	behave   func(endpoint string, q request) int
	known    map[string]effect // by key
	effects  map[string]int    // how often each key had an effect
	lastWork int
}

// effect is what the endpoints remember of a key.
type effect struct {
	at     time.Time
	answer string
}

func newService(r *run, memory time.Duration) *service {
	return &service{r: r, memory: memory, known: map[string]effect{}, effects: map[string]int{}}
}

// set changes how the endpoints behave; nil: they serve.
func (s *service) set(behave func(endpoint string, q request) int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behave = behave
}

// effectsOf returns how often a key had an effect.
func (s *service) effectsOf(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.effects[key]
}

// endpoint starts an endpoint and returns its entry in the list.
func (s *service) endpoint(name, zone string, group int) listed {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.r.fail("%v", err)
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.talk(name, conn)
		}
	}()
	return listed{Name: name, Address: l.Addr().String(), Zone: zone, Group: group, Status: "SERVING", Weight: 1}
}

// talk serves one connection of an endpoint.
func (s *service) talk(name string, conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		conn.SetReadDeadline(time.Now().Add(10 * time.Second)) //nolint:errcheck // a failure shows with the read
		m, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, m.Body); err != nil {
			return
		}
		q := request{
			at: time.Now(), class: strings.SplitN(strings.TrimPrefix(m.URL.Path, "/"), "/", 2)[0], id: m.Header.Get("X-Txn"),
			key: m.Header.Get("Idempotency-Key"), remaining: m.Header.Get("X-Remaining"), method: m.Method,
		}
		if _, payment, _ := strings.Cut(strings.TrimPrefix(m.URL.Path, "/"), "/"); q.key == "" && m.Method == http.MethodPost {
			q.payment = payment
		}
		text, what := s.handle(name, q)
		if q.key == "" {
			time.Sleep(s.work)
		}
		switch what {
		case runReset:
			conn.(*net.TCPConn).SetLinger(0) //nolint:errcheck // it is closed all the same
			return
		case turnAway:
			_, err = fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
		default:
			_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		}
		if err != nil {
			return
		}
	}
}

// handle runs a request, unless it is the repeat of a key that is remembered, or turns it away.
func (s *service) handle(name string, q request) (text string, what int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.behave != nil {
		what = s.behave(name, q)
	}
	if what == turnAway {
		s.r.note("endpoint %s: %s key %+q id %s: turned away", name, q.class, q.key, q.id)
		return "", what
	}
	if q.payment != "" {
		s.effects[q.payment]++
		s.r.note("endpoint %s: %s id %s: RUN, effect %d of it%s", name, q.payment, q.id, s.effects[q.payment],
			map[bool]string{true: ", answer lost: connection reset"}[what == runReset])
		return "paid\n", what
	}
	if q.key == "" {
		return "seen by " + name + "\n", what
	}
	if before, ok := s.known[q.key]; ok && q.at.Sub(before.at) < s.memory {
		s.r.note("endpoint %s: %s key %+q id %s: a repeat, dropped%s", name, q.class, q.key, q.id, map[bool]string{true: ", connection reset"}[what == runReset])
		return before.answer, what
	}
	s.lastWork++
	s.effects[q.key]++
	text = "done, receipt " + strconv.Itoa(s.lastWork)
	if s.lastWork%2 == 0 {
		text += s.padding
	}
	text += "\n"
	s.known[q.key] = effect{q.at, text}
	if s.r.quiet {
		return text, what
	}
	s.r.note("endpoint %s: %s key %+q id %s: RUN, effect %d of this key%s", name, q.class, q.key, q.id, s.effects[q.key],
		map[bool]string{true: ", answer lost: connection reset"}[what == runReset])
	return text, what
}
