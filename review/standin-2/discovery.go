package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// discovery is the stand-in of discovery. What has changed it tells with the whole list, which leaves out endpoints that
// drain.
type discovery struct {
	r       *run
	address string

	mu      sync.Mutex
	index   int64
	list    []listed
	changed chan struct{}        // closed with the next change
	told    map[string][]telling // by the caller's address
}

// telling is a list that was written to a caller.
type telling struct {
	index int64
	at    time.Time
}

func newDiscovery(r *run, list []listed) *discovery {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.fail("%v", err)
	}
	d := &discovery{r: r, address: l.Addr().String(), index: 1, list: list, changed: make(chan struct{}), told: map[string][]telling{}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go d.talk(conn)
		}
	}()
	return d
}

// set replaces the list.
func (d *discovery) set(list []listed) (index int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	d.list = list
	close(d.changed)
	d.changed = make(chan struct{})
	return d.index
}

// talk serves one connection of a sidecar.
func (d *discovery) talk(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		m, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		after, wait := int64(-1), 0
		if text := m.URL.Query().Get("after"); text != "" {
			after, _ = strconv.ParseInt(text, 10, 64)
			wait, _ = strconv.Atoi(m.URL.Query().Get("wait_ms"))
		}
		d.mu.Lock()
		changed, fresh := d.changed, d.index != after
		d.mu.Unlock()
		if !fresh {
			select {
			case <-changed:
			case <-time.After(time.Duration(min(wait, 60000)) * time.Millisecond):
			}
		}
		d.mu.Lock()
		answer := map[string]any{"index": d.index, "snapshot": true, "endpoints": d.list}
		if d.index == after { // nothing has changed
			answer["snapshot"], answer["endpoints"] = false, []listed{}
		}
		text, _ := json.Marshal(answer)
		_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		who := conn.RemoteAddr().String()
		d.told[who] = append(d.told[who], telling{d.index, time.Now()})
		names := ""
		for _, e := range d.list {
			names += " " + e.Name
		}
		if d.index != after {
			d.r.note("discovery: wrote list %d (whole:%s) to %s", d.index, names, who)
		}
		d.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// toldAll returns when a list of at least the given index was written to the last of n callers.
func (d *discovery) toldAll(index int64, n int) (at time.Time, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, tellings := range d.told {
		for _, t := range tellings {
			if t.index >= index {
				n--
				if t.at.After(at) {
					at = t.at
				}
				break
			}
		}
	}
	return at, n <= 0
}
