package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

func init() { cases["7"] = stricterFile }

// stricterFile: a sidecar starts again with a file that says that payments may not be repeated, while the crew's version, which is older,
// lets them be repeated by key. An answer is lost.
func stricterFile(r *run) bool {
	s := newService(r, 0) // it remembers no keys: that is why the file was changed
	var known []listed
	for i := range 3 {
		known = append(known, s.endpoint(fmt.Sprintf("e-%d", i+1), string(rune('a'+i)), i))
	}
	names, discovery := []string{"k1", "k2", "k3", "m1"}, newDiscovery(r, known).address
	procs := r.crew(names, []class{{"pay", "by_key", 10000}}, discovery, known, "")
	for _, p := range procs {
		r.awaitLease(p, false)
	}
	version := filepath.Join(r.dir, "version.toml")
	const text = "note = \"endpoints remember keys for 8 s\"\n[[class]]\nname = \"pay\"\neffect = \"by_key\"\ngroup = \"all\"\nwindow = \"8s\"\n"
	if err := os.WriteFile(version, []byte(text), 0o644); err != nil {
		r.fail("%v", err)
	}
	out, err := r.command(40*time.Second, "crew", "propose", "--operator", procs[0].table, version)
	r.note("crew propose: %s", out)
	if err != nil {
		r.fail("propose: %v", err)
	}
	m1 := procs[3]
	m1.signal(syscall.SIGTERM)
	<-m1.exited
	r.note("m1 has ended in order; its file now says of class pay: effect once. It starts again")
	conf := r.configure("m1", m1.listen, settings("d", 3, 4, class{"pay", "once", 0}), discovery, known)
	again := r.start("m1", []string{"BALANCER_CONFIG=" + conf}, "serve", "--operator", m1.table)
	again.listen, again.table = m1.listen, m1.table
	r.awaitUp(again)
	r.awaitLease(again, false)
	time.Sleep(time.Second)
	members, _ := r.command(10*time.Second, "crew", "members", "--operator", procs[0].table)
	r.note("crew members:\n%s", members)
	if r.trouble {
		s.set(func(string, request) int { return runReset })
		r.note("answers get lost from now on: connections are reset under requests that have run")
	}
	const payments = 6
	key := func(i int) string { return fmt.Sprintf("payment-%d", i) }
	for i := range payments {
		r.payOnce(again, "pay", key(i), time.Second)
	}
	return moreThanOnce(r, s, payments, key)
}

// moreThanOnce reports whether any of the keys had more than one effect.
func moreThanOnce(r *run, s *service, n int, key func(int) string) (broken bool) {
	for i := range n {
		if effects := s.effectsOf(key(i)); effects > 1 {
			r.note("key %s: %d effects", key(i), effects)
			broken = true
		}
	}
	return broken
}
