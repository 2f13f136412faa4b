package harness

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"heathgap/internal/httpwire"
	"heathgap/internal/lab/fake"
	"heathgap/internal/lab/oracle"
	"heathgap/internal/lab/scenario"
)

// ListTrafficConf describes a measurement of what changes of an endpoint list cost.
type ListTrafficConf struct {
	Endpoints  int           // in the list; none of them exists, since no requests are sent
	AtOnce     int           // lines that change together
	Separately bool          // each of these lines changes in a version of its own, published one right after the other
	Changes    int           // number of changes
	Sidecars   int           // real sidecars that watch the list
	Emulated   int           // emulated watchers: they speak the protocol but keep only the version
	Peers      int           // number of peers in the sidecars' settings: with more peers they wait longer
	Idle       time.Duration // time of a second measurement without changes; 0 for none
}

// ListTraffic is the result of a measurement of list changes.
type ListTraffic struct {
	Real, Emulated Wire          // of one watcher, for each change
	Idle           Wire          // of one sidecar, over the time without changes
	IdleFor        time.Duration // length of that time
	FullList       Wire          // of one request for the full list
	CPU            float64       // microseconds of a sidecar's CPU time for each change
	IdleCPU        float64       // microseconds of a sidecar's CPU time for each second without changes
	LabCPU         float64       // microseconds of the harness's CPU time for each change and watcher: fake discovery, emulated watchers and counting
	DeliveryP50    float64       // ms from a change until the last watcher has received it
	DeliveryMax    float64
}

// Wire is the traffic between a watcher and discovery, as payload of TCP.
type Wire struct {
	Calls, Answers            float64 // messages of the watcher, and of discovery
	RequestBytes, AnswerBytes float64 // their sizes
	LinesPerAnswer            float64
	FullLists                 float64 // how many of the answers were full lists
}

// watcherCounts counts the traffic of a watcher since its start. version is the newest version that the watcher is known to have.
type watcherCounts struct {
	calls, answers, requestBytes, answerBytes, lines, fullLists, version atomic.Int64
}

// snapshot holds the values of watcherCounts at one time, without version.
type snapshot [6]int64

func (c *watcherCounts) snapshot() snapshot {
	return snapshot{c.calls.Load(), c.answers.Load(), c.requestBytes.Load(), c.answerBytes.Load(), c.lines.Load(), c.fullLists.Load()}
}

// wireBetween returns the traffic between two snapshots of some watchers, for one watcher and one change.
func wireBetween(before, after []snapshot, changes int) Wire {
	var d [6]float64
	for i := range before {
		for k := range d {
			d[k] += float64(after[i][k]-before[i][k]) / float64(len(before)*max(1, changes))
		}
	}
	w := Wire{Calls: d[0], Answers: d[1], RequestBytes: d[2], AnswerBytes: d[3], FullLists: d[5]}
	if d[1] > 0 {
		w.LinesPerAnswer = d[4] / d[1]
	}
	return w
}

func snapshots(all []*watcherCounts) []snapshot {
	out := make([]snapshot, len(all))
	for i, c := range all {
		out[i] = c.snapshot()
	}
	return out
}

// listsScenario has an endpoint only because a scenario must; the list is published by the measurement.
const listsScenario = `
name = "lists"
duration = "1h"
[[class]]
name = "look"
work = "200us"
[[tier]]
name = "front"
endpoints = 1
[load]
rate = 1
`

// Times of the measurement.
const (
	watchWait            = 10 * time.Second       // how long a watch of an emulated watcher may stay open
	deliveryTimeout      = 10 * time.Second       // until all watchers have received a change
	deliveryPollInterval = time.Millisecond       // between two checks whether they have
	firstWatchTimeout    = 9 * time.Second        // a sidecar opens its first watch within a second, or 1 to 8 s after a failed call
	afterChangesDelay    = 300 * time.Millisecond // for the work that the last change still causes
)

// listTraffic is the state of the measurement.
type listTraffic struct {
	*run
	conf      ListTrafficConf
	discovery *fake.Discovery
	version   int64 // the version that was published last
	real      []*watcherCounts
	emulated  []*watcherCounts
	proxies   []*countingProxy
	gone      bool // the changing lines are deleted at present; the next change restores them
}

// MeasureListTraffic changes a list and measures what its watchers receive.
func MeasureListTraffic(ctx context.Context, conf ListTrafficConf, opts Options) (*ListTraffic, error) {
	sc, err := scenario.Parse("lists", []byte(listsScenario))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "heathlab-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	l := &listTraffic{run: newRun(sc, 1, opts, dir), conf: conf}
	l.openChecker(oracle.NewService(nil, 0))
	var watchers sync.WaitGroup
	watching, stop := context.WithCancel(ctx)
	defer watchers.Wait()
	defer l.stop()
	defer stop()
	if err := l.start(watching, &watchers); err != nil {
		return nil, err
	}
	return l.measure(ctx)
}

// listLine returns line n of the list. An endpoint that is deleted and restored has the same line.
func listLine(n int, status string) fake.Line {
	return fake.Line{
		Name: fmt.Sprintf("svc-%d.example.internal", n), Address: fmt.Sprintf("127.15.%d.%d:8080", n/250, 1+n%250), Zone: "zone-a", Type: "lab",
		Group: 1, Status: status, Weight: 1, Since: 1_764_633_600_000 + int64(n),
	}
}

// start publishes the list, starts the sidecars with their counting proxies and the emulated watchers, and waits until all have
// the list.
func (l *listTraffic) start(ctx context.Context, watchers *sync.WaitGroup) error {
	l.discovery = fake.NewDiscovery(l.checker)
	l.discoveries = []*fake.Discovery{l.discovery}
	all := make([]fake.Line, l.conf.Endpoints)
	for n := range all {
		all[n] = listLine(n, fake.Serving)
	}
	l.publish(all...)
	for n := range l.conf.Sidecars {
		s := &sidecar{run: l.run, name: fmt.Sprintf("s%d", n), number: n % l.conf.Peers, peers: l.conf.Peers, zone: "zone-a"}
		if err := s.assignAddresses(); err != nil {
			return err
		}
		c := &watcherCounts{}
		t, err := newCountingProxy(s.host, s.discoveryAddress, c)
		if err != nil {
			return err
		}
		l.proxies, l.real = append(l.proxies, t), append(l.real, c)
		s.discoveryAddress = t.listener.Addr().String()
		l.addSidecar(s)
		if _, err := s.start(ctx); err != nil {
			return err
		}
	}
	for n := range l.conf.Emulated {
		host, err := l.hosts.acquire()
		if err != nil {
			return err
		}
		address, err := l.discovery.OpenFor(fmt.Sprintf("h%d", n), host)
		if err != nil {
			return err
		}
		c := &watcherCounts{}
		l.emulated = append(l.emulated, c)
		watchers.Go(func() { emulatedWatch(ctx, address, c) })
	}
	return l.awaitDelivery(ctx, firstWatchTimeout)
}

func (l *listTraffic) stop() {
	for _, t := range l.proxies {
		t.close()
	}
	l.stopAll()
}

// publish changes lines of the list in one version.
func (l *listTraffic) publish(lines ...fake.Line) {
	l.discovery.SetLines(lines...)
	l.version++
}

// awaitDelivery waits until all watchers are known to have the newest version: a sidecar when it requests what follows that
// version, an emulated watcher when it has decoded the list.
func (l *listTraffic) awaitDelivery(ctx context.Context, timeout time.Duration) error {
	all := append(append([]*watcherCounts{}, l.real...), l.emulated...)
	for end := time.Now().Add(timeout); ; {
		behind := 0
		for _, c := range all {
			if c.version.Load() < l.version {
				behind++
			}
		}
		if behind == 0 {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d watchers have not asked for what follows version %d within %v", behind, len(all), l.version, timeout)
		}
		select {
		case <-time.After(deliveryPollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// changeLines deletes the changing lines, or restores them if they are deleted.
func (l *listTraffic) changeLines() {
	l.gone = !l.gone
	status := fake.Serving
	if l.gone {
		status = fake.Deleted
	}
	lines := make([]fake.Line, l.conf.AtOnce)
	for n := range lines {
		lines[n] = listLine(n, status)
	}
	if !l.conf.Separately {
		l.publish(lines...)
		return
	}
	for _, one := range lines {
		l.publish(one)
	}
}

// measure makes the changes and returns what they cost.
func (l *listTraffic) measure(ctx context.Context) (*ListTraffic, error) {
	out := &ListTraffic{IdleFor: l.conf.Idle}
	var err error
	if out.FullList, err = l.fetchFullList(ctx); err != nil {
		return nil, err
	}
	before, emulated := snapshots(l.real), snapshots(l.emulated)
	cpu, err := l.sidecarCPUTime()
	if err != nil {
		return nil, err
	}
	labBefore := labCPUTime()
	delivery := newHistogram()
	for range l.conf.Changes {
		began := time.Now()
		l.changeLines()
		if err := l.awaitDelivery(ctx, deliveryTimeout); err != nil {
			return nil, err
		}
		observe(delivery, time.Since(began))
	}
	labAfter := labCPUTime()
	select { // for what the last change still costs
	case <-time.After(afterChangesDelay):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	after, err := l.sidecarCPUTime()
	if err != nil {
		return nil, err
	}
	changes := float64(l.conf.Changes)
	out.Real, out.Emulated = wireBetween(before, snapshots(l.real), l.conf.Changes), wireBetween(emulated, snapshots(l.emulated), l.conf.Changes)
	out.CPU = float64((after - cpu).Microseconds()) / changes / float64(max(1, l.conf.Sidecars))
	out.LabCPU = float64((labAfter - labBefore).Microseconds()) / changes / float64(l.conf.Sidecars+l.conf.Emulated)
	out.DeliveryP50, out.DeliveryMax = quantile(delivery, 50), quantile(delivery, 100)
	if l.conf.Idle <= 0 {
		return out, nil
	}
	before, cpu = snapshots(l.real), after
	select {
	case <-time.After(l.conf.Idle):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if after, err = l.sidecarCPUTime(); err != nil {
		return nil, err
	}
	out.Idle = wireBetween(before, snapshots(l.real), 1)
	out.IdleCPU = float64((after - cpu).Microseconds()) / l.conf.Idle.Seconds() / float64(max(1, l.conf.Sidecars))
	return out, nil
}

// sidecarCPUTime returns the CPU time of all sidecars together.
func (l *listTraffic) sidecarCPUTime() (time.Duration, error) {
	sum := time.Duration(0)
	for _, s := range l.allSidecars() {
		ran, err := s.proc.cpuTime()
		if err != nil {
			return 0, err
		}
		sum += ran
	}
	return sum, nil
}

// labCPUTime returns the CPU time of this process.
func labCPUTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// fetchFullList requests the full list once, as a sidecar without a list does.
func (l *listTraffic) fetchFullList(ctx context.Context) (Wire, error) {
	host, err := l.hosts.acquire()
	if err != nil {
		return Wire{}, err
	}
	address, err := l.discovery.OpenFor("whole", host)
	if err != nil {
		return Wire{}, err
	}
	c := &watcherCounts{}
	w, err := dialWatch(ctx, address, c)
	if err != nil {
		return Wire{}, err
	}
	defer w.Close()
	if _, err := w.call(httpwire.EncodeFetch()); err != nil {
		return Wire{}, err
	}
	return wireBetween([]snapshot{{}}, []snapshot{c.snapshot()}, 1), nil
}

// watchConn is the connection of an emulated watcher. It counts what it writes and reads.
type watchConn struct {
	net.Conn
	in     *bufio.Reader
	counts *watcherCounts
}

// Read reads from the connection and counts the bytes.
func (w *watchConn) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	w.counts.answerBytes.Add(int64(n))
	return n, err
}

func dialWatch(ctx context.Context, address string, c *watcherCounts) (*watchConn, error) {
	dialer := net.Dialer{Timeout: watchWait}
	plain, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	w := &watchConn{Conn: plain, counts: c}
	w.in = bufio.NewReader(w)
	return w, nil
}

// call sends one request and returns the list of the answer.
func (w *watchConn) call(message []byte) (httpwire.List, error) {
	w.SetDeadline(time.Now().Add(2 * watchWait)) //nolint:errcheck // the write reports an error
	w.counts.calls.Add(1)
	w.counts.requestBytes.Add(int64(len(message)))
	if _, err := w.Write(message); err != nil {
		return httpwire.List{}, err
	}
	list, _, err := httpwire.DecodeListReply(w.in)
	if err != nil {
		return list, err
	}
	w.counts.answers.Add(1)
	w.counts.lines.Add(int64(len(list.Endpoints)))
	if list.Full {
		w.counts.fullLists.Add(1)
	}
	return list, nil
}

// emulatedWatch watches the list as a sidecar does, until ctx ends or a call fails. After a failure the watcher stays behind,
// which the measurement reports.
func emulatedWatch(ctx context.Context, address string, c *watcherCounts) {
	w, err := dialWatch(ctx, address, c)
	if err != nil {
		return
	}
	defer w.Close()
	stop := context.AfterFunc(ctx, func() { w.Close() })
	defer stop()
	message := httpwire.EncodeFetch()
	for ctx.Err() == nil {
		list, err := w.call(message)
		if err != nil {
			return
		}
		c.version.Store(list.Index)
		message = httpwire.EncodeWatch(list.Index, watchWait)
	}
}

// countingProxy is a proxy between a sidecar and its discovery that counts what it forwards.
type countingProxy struct {
	listener net.Listener
	to       string
	counts   *watcherCounts

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

func newCountingProxy(host, to string, c *watcherCounts) (*countingProxy, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	t := &countingProxy{listener: listener, to: to, counts: c, conns: map[net.Conn]struct{}{}}
	go t.accept()
	return t, nil
}

func (t *countingProxy) accept() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			return
		}
		go t.handle(conn)
	}
}

// track registers a connection, so that close closes it. If the proxy is closed already, it registers nothing and returns false.
func (t *countingProxy) track(conn net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.closed {
		t.conns[conn] = struct{}{}
	}
	return !t.closed
}

func (t *countingProxy) close() {
	t.listener.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for conn := range t.conns {
		conn.Close()
	}
}

// handle forwards one connection. A watch has one request open at a time.
func (t *countingProxy) handle(from net.Conn) {
	defer from.Close()
	to, err := net.DialTimeout("tcp", t.to, watchWait)
	if err != nil {
		return
	}
	defer to.Close()
	if !t.track(from) || !t.track(to) {
		return
	}
	defer func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.conns, from)
		delete(t.conns, to)
	}()
	var both sync.WaitGroup
	both.Go(func() { t.copy(to, from, t.countRequest) })
	count, done := t.countAnswers()
	t.copy(from, to, count)
	done()
	both.Wait()
}

// copy forwards one direction and passes what it reads to count, until a read or write fails; a read fails after an hour without
// data. It then closes to, which ends the other direction as well.
func (t *countingProxy) copy(to, from net.Conn, count func([]byte)) {
	defer to.Close()
	b := make([]byte, 64<<10)
	for {
		from.SetReadDeadline(time.Now().Add(time.Hour)) //nolint:errcheck // the connection is closed with the proxy at the latest
		n, err := from.Read(b)
		if n > 0 {
			count(b[:n])
			to.SetWriteDeadline(time.Now().Add(watchWait)) //nolint:errcheck // the write reports an error
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// countRequest counts a request. The sidecar writes each request at once and it fits one read. The version in it is the version
// that the sidecar has.
func (t *countingProxy) countRequest(b []byte) {
	t.counts.requestBytes.Add(int64(len(b)))
	t.counts.calls.Add(1)
	if after, ok := afterParameter(b); ok {
		t.counts.version.Store(after)
	}
}

// countAnswers returns a function that counts the bytes from discovery. A goroutine decodes a copy of them to count the answers
// and their lines, until done is called.
func (t *countingProxy) countAnswers() (count func([]byte), done func()) {
	read, write := net.Pipe()
	go func() {
		defer read.Close()
		in := bufio.NewReader(read)
		for {
			list, _, err := httpwire.DecodeListReply(in)
			if err != nil {
				return
			}
			t.counts.answers.Add(1)
			t.counts.lines.Add(int64(len(list.Endpoints)))
			if list.Full {
				t.counts.fullLists.Add(1)
			}
		}
	}()
	return func(b []byte) {
		t.counts.answerBytes.Add(int64(len(b)))
		write.Write(b) //nolint:errcheck // after an answer that can't be decoded no more lines are counted
	}, func() { write.Close() }
}

// afterParameter returns the version that a watch request states, and whether it states one.
func afterParameter(b []byte) (int64, bool) {
	var after, wait int64
	n, _ := fmt.Sscanf(string(b), "GET /discovery/hosts?after=%d&wait_ms=%d", &after, &wait)
	return after, n == 2
}
