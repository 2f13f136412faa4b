package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

func init() { cases["9"] = windowOfTheVersion }

// windowOfTheVersion: the crew's version has shortened the window, and the answer to an order is lost.
func windowOfTheVersion(r *run) bool {
	s := newService(r, 11*time.Second)
	procs := heldCrew(r, s, 10000)
	version := filepath.Join(r.dir, "version.toml")
	const text = "note = \"endpoints remember keys for 2 s from now on\"\n[[class]]\nname = \"order\"\neffect = \"by_key\"\ngroup = \"all\"\nwindow = \"2s\"\n"
	if err := os.WriteFile(version, []byte(text), 0o644); err != nil {
		r.fail("%v", err)
	}
	out, err := r.command(40*time.Second, "crew", "propose", "--operator", procs[0].table, version)
	r.note("crew propose: %s", out)
	if err != nil {
		r.fail("propose: %v", err)
	}
	time.Sleep(3 * time.Second) // longer than contradict_at_most
	s.mu.Lock()
	s.memory = 2500 * time.Millisecond
	s.mu.Unlock()
	r.note("endpoints drop repeats for 2.5 s from now on")
	const orders = 6
	key := func(i int) string { return fmt.Sprintf("order-%d", i) }
	if r.trouble {
		s.set(func(string, request) int { return runReset })
	}
	r.note("-- first tries")
	first := time.Now()
	for i := range orders {
		r.order(procs[i%3], "order", key(i), time.Second)
	}
	s.set(nil)
	time.Sleep(time.Until(first.Add(4 * time.Second)))
	r.note("-- repeats, 4 s after the first tries")
	for i := range orders {
		r.order(procs[(i+1)%3], "order", key(i), time.Second)
	}
	return moreThanOnce(r, s, orders, key)
}
