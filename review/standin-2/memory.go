package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["9"] = memoryOfAnswers }

// memoryOfAnswers: orders are placed, and every second answer has 16 kB. The platform kills what goes over its limit of memory, and starts it again.
func memoryOfAnswers(r *run) bool {
	const perSecond, most = 270, 84 * time.Second
	r.memory = 96
	limit := r.memory << 10 // KiB
	r.quiet = true
	s := newService(r, 5*time.Second)
	if r.trouble {
		s.padding = strings.Repeat("x", 16000)
	}
	var known []listed
	for i := range 4 {
		known = append(known, s.endpoint(fmt.Sprintf("e-%d", i+1), string(rune('a'+i)), i))
	}
	procs := r.crew([]string{"k1", "k2", "k3", "m1"}, []class{{"order", "by_key", 4000}}, newDiscovery(r, known).address, known,
		"[holdings]\n[[holdings.class]]\nname = \"order\"\n")
	for _, p := range procs {
		r.awaitLease(p, false)
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	told, placed := map[string]string{}, 0
	var clients sync.WaitGroup
	killed := map[string]bool{}
	r.note("clients place %d orders a second, every key once; every second answer has some %d bytes, the limit is %d MB", perSecond, 20+len(s.padding), r.memory)
	began := time.Now()
	for end := began.Add(most); time.Now().Before(end) && len(killed) < 4; placed++ {
		key, p := fmt.Sprintf("order-%d", placed), procs[placed%4]
		clients.Go(func() {
			if a := r.order(p, "order", key, time.Second); a.status == 200 {
				mu.Lock()
				told[key] = a.body
				mu.Unlock()
			}
		})
		time.Sleep(time.Until(began.Add(time.Duration(placed+1) * time.Second / perSecond)))
		if placed%100 > 0 {
			continue
		}
		for i, p := range procs {
			kib := anonymousMemory(p.cmd.Process.Pid)
			if placed%2000 == 0 {
				r.note("platform: %s has %d KiB of its own memory after %d orders", p.name, kib, placed)
			}
			if kib > limit {
				r.note("platform: %s has %d KiB of its own memory after %d orders, over its limit of %d: killed, and started again", p.name, kib, placed, limit)
				p.signal(syscall.SIGKILL)
				<-p.exited
				killed[p.name] = true
				again := r.start(p.name, []string{"BALANCER_CONFIG=" + p.conf}, "serve", "--operator", p.table)
				again.listen, again.table, again.conf = p.listen, p.table, p.conf
				procs[i] = again
			}
		}
	}
	clients.Wait()
	r.note("%d orders were placed, %d answered 200; %d of 4 sidecars were killed", placed, len(told), len(killed))
	time.Sleep(5 * time.Second)
	asked, again := 0, 0
	for i := 0; i < placed && asked < 20; i += max(1, placed/20) {
		key := fmt.Sprintf("order-%d", i)
		body, ok := told[key]
		if !ok {
			continue
		}
		asked++
		for _, p := range procs {
			if a := r.order(p, "order", key, 300*time.Millisecond); a.status == 200 && a.body == body {
				again++
				break
			}
		}
	}
	r.note("of %d answers that were told, %d are told again, 5 s later, by any of the four", asked, again)
	return len(killed) > 0
}

// anonymousMemory returns what a process has of memory that no file stands behind, in KiB.
func anonymousMemory(pid int) (kib int) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if n, _ := fmt.Sscanf(line, "RssAnon: %d kB", &kib); n == 1 { //nolint:errcheck // other lines
			return kib
		}
	}
	return 0
}
