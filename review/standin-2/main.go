// Command standin-2 plays the cases of the second review: it starts the project's programs as separate processes, plays their clients,
// their endpoints and discovery, and judges what these see. The scripts review/N/run.sh start it.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// cases are the cases by number. Each reports whether the rule was broken.
var cases = map[string]func(*run) bool{}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER-OF-PROGRAMS RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

// play plays a case and returns the exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
func play(judge func(*run) bool, bin, record string) (code int) {
	r := &run{trouble: os.Getenv("TROUBLE") != "0", sockets: 1024, memory: 192, bin: bin, began: time.Now()}
	var err error
	if r.record, err = os.Create(record); err == nil {
		defer r.record.Close()
		r.dir, err = os.MkdirTemp("", "review")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() {
		if os.Getenv("KEEP") == "" {
			os.RemoveAll(r.dir) //nolint:errcheck // it is a temporary folder
		} else {
			fmt.Println(r.dir)
		}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	ended := make(chan int, 1)
	go func() { ended <- r.judge(judge) }()
	select {
	case code = <-ended:
	case <-stop:
		code = 2
	case <-time.After(110 * time.Second):
		r.note("the case takes too long")
		code = 2
	}
	r.endAll()
	return code
}

// judge runs the case.
func (r *run) judge(broken func(*run) bool) (code int) {
	runtime.LockOSThread() // the processes that this goroutine starts end with its thread
	defer func() {
		if v := recover(); v != nil {
			why, ok := v.(errCannotRun)
			if !ok {
				panic(v)
			}
			r.note("the case could not run: %s", why.why)
			code = 2
		}
	}()
	r.note("trouble: %v", r.trouble)
	if broken(r) {
		r.note("RULE BROKEN")
		return 1
	}
	r.note("the rule held")
	return 0
}
