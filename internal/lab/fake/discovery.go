package fake

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"heathgap/internal/lab/oracle"
)

// Line is one endpoint in a list, as discovery writes it.
type Line struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"` // Serving, Draining or Deleted
	Weight  float64 `json:"weight"`
	Since   int64   `json:"since_ms"` // the endpoint's start in Unix milliseconds; 0 for long ago
}

// The states of a line.
const (
	Serving  = "SERVING"
	Draining = "DRAINING"
	Deleted  = "DELETED"
)

// List is an answer of discovery: a full list or changes.
type List struct {
	Index     int64  `json:"index"`
	Full      bool   `json:"snapshot"`
	Endpoints []Line `json:"endpoints"`
}

// Discovery is a fake discovery with the list of one tier. Each sidecar has its own address there, so that the checker
// knows which list was delivered to which sidecar.
type Discovery struct {
	checker *oracle.Shared

	mu          sync.Mutex
	index       int64
	lines       map[string]Line
	order       []string                   // names, in the order in which they were first listed
	changed     map[string]int64           // the version in which each name last changed
	history     map[string][]versionedLine // all lines that each name has had, by rising version
	delivered   map[string]int64           // the last version delivered to each sidecar
	down        bool
	refuseAfter time.Duration // delay after which each new call is refused, as if there were too many callers; 0 for no refusals
	lag         time.Duration // delay of each answer
	updated     chan struct{} // closed and replaced at each change
	servers     []*http.Server
}

// versionedLine is a line and the version that it is valid from.
type versionedLine struct {
	Line
	version int64
}

// NewDiscovery returns a discovery with an empty list.
func NewDiscovery(checker *oracle.Shared) *Discovery {
	return &Discovery{
		checker: checker, lines: map[string]Line{}, changed: map[string]int64{}, history: map[string][]versionedLine{},
		delivered: map[string]int64{}, updated: make(chan struct{}),
	}
}

// SetLines adds or changes lines, all in one version.
func (d *Discovery) SetLines(lines ...Line) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	for _, l := range lines {
		if _, known := d.lines[l.Name]; !known {
			d.order = append(d.order, l.Name)
		}
		d.lines[l.Name], d.changed[l.Name] = l, d.index
		d.history[l.Name] = append(d.history[l.Name], versionedLine{l, d.index})
	}
	now := d.checker.Now()
	d.checker.Do(func(b *oracle.Checker) {
		for _, l := range lines {
			b.ListPublished(now, d.index, l.Name, l.Status == Serving)
		}
	})
	d.notify()
}

// notify wakes the watches that wait.
func (d *Discovery) notify() {
	close(d.updated)
	d.updated = make(chan struct{})
}

// SetDown makes calls fail from now on, or no longer. Watches that wait fail at once.
func (d *Discovery) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	d.checker.Do(func(b *oracle.Checker) { b.SetDiscoveryUp(d.checker.Now(), !down) })
	d.notify()
}

// SetOverloaded makes discovery refuse each call that begins from now on after a delay, as if it had too many callers;
// 0 ends that. Watches that already wait go on waiting. For the checker, discovery still counts as reachable.
func (d *Discovery) SetOverloaded(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refuseAfter = delay
	d.notify()
}

// SetLag sets the delay of each answer.
func (d *Discovery) SetLag(lag time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lag = lag
}

// Listed returns the current full list.
func (d *Discovery) Listed() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listAfter(0)
}

// LastDelivered returns the full list of the version that was last delivered to a sidecar: the platform hands it to the
// sidecar at its next start. For a sidecar without one it is the current list, which then counts as delivered.
func (d *Discovery) LastDelivered(sidecar string) List {
	d.mu.Lock()
	defer d.mu.Unlock()
	version, known := d.delivered[sidecar]
	if !known {
		d.delivered[sidecar] = d.index
		return d.listAfter(0)
	}
	list := List{Index: version, Full: true, Endpoints: []Line{}}
	for _, name := range d.order {
		lines := d.history[name]
		n := sort.Search(len(lines), func(i int) bool { return lines[i].version > version })
		if n > 0 && lines[n-1].Status != Deleted {
			list.Endpoints = append(list.Endpoints, lines[n-1].Line)
		}
	}
	return list
}

// listAfter returns the lines that changed after a version, or the full list for version 0.
func (d *Discovery) listAfter(after int64) List {
	list := List{Index: d.index, Full: after == 0, Endpoints: []Line{}}
	for _, name := range d.order {
		l := d.lines[name]
		if list.Full && l.Status == Deleted || !list.Full && d.changed[name] <= after {
			continue
		}
		list.Endpoints = append(list.Endpoints, l)
	}
	return list
}

// OpenFor opens an address of discovery for one sidecar.
func (d *Discovery) OpenFor(sidecar, host string) (address string, err error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.serve(w, r, sidecar)
	})}
	d.mu.Lock()
	d.servers = append(d.servers, server)
	d.mu.Unlock()
	go server.Serve(listener) //nolint:errcheck // it ends with Close
	return listener.Addr().String(), nil
}

// Close closes all addresses.
func (d *Discovery) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.servers {
		s.Close()
	}
}

// maxWait bounds a watch, as in the protocol.
const maxWait = time.Minute

// serve answers one call; SetOverloaded, SetLag and SetDown change how. A call for the full list does not wait for a change.
// A watch waits until there is a newer version or discovery is down, for at most the time that it asks for or maxWait; while
// new calls are refused, a newer version does not end its wait.
func (d *Discovery) serve(w http.ResponseWriter, r *http.Request, sidecar string) {
	d.checker.Do(func(b *oracle.Checker) { b.ListCallBegun(sidecar) })
	defer func() { d.checker.Do(func(b *oracle.Checker) { b.ListCallEnded(d.checker.Now(), sidecar) }) }()
	if r.URL.Path != "/discovery/hosts" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if delay := d.refusalDelay(); delay > 0 {
		if pause(r, delay) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if wait := min(time.Duration(ms)*time.Millisecond, maxWait); after > 0 {
		d.checker.Do(func(b *oracle.Checker) { b.WatchAccepted(sidecar, d.checker.Now()+wait) })
		if !d.waitForNewer(r, after, wait) {
			return
		}
	}
	d.mu.Lock()
	down, lag := d.down, d.lag
	d.mu.Unlock()
	if lag > 0 && !pause(r, lag) {
		return
	}
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	d.writeList(w, after, sidecar)
}

// refusalDelay returns the delay set by SetOverloaded.
func (d *Discovery) refusalDelay() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.refuseAfter
}

// pause waits, and returns false if the peer leaves.
func pause(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

// waitForNewer waits until there is a version after a given one and new calls are not refused, or until discovery is down,
// for at most limit. It returns false if the peer leaves.
func (d *Discovery) waitForNewer(r *http.Request, after int64, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		d.mu.Lock()
		ready, updated := d.down || d.index > after && d.refuseAfter == 0, d.updated
		d.mu.Unlock()
		if ready {
			return true
		}
		select {
		case <-updated:
		case <-timer.C:
			return true
		case <-r.Context().Done():
			return false
		}
	}
}

// writeList writes the answer and reports to the checker what was delivered to whom.
func (d *Discovery) writeList(w http.ResponseWriter, after int64, sidecar string) {
	d.mu.Lock()
	list := d.listAfter(after)
	d.mu.Unlock()
	var text bytes.Buffer
	json.NewEncoder(&text).Encode(list) //nolint:errcheck // the list has nothing that can't be encoded
	w.Header().Set("Content-Length", strconv.Itoa(text.Len()))
	if _, err := w.Write(text.Bytes()); err != nil {
		return
	}
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
	d.mu.Lock()
	d.delivered[sidecar] = max(d.delivered[sidecar], list.Index)
	d.mu.Unlock()
	d.checker.Do(func(b *oracle.Checker) { b.ListDelivered(d.checker.Now(), sidecar, list.Index) })
}
