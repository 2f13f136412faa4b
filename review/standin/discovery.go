package main

import (
	"encoding/json"
	"flag"
	"net/http"
	"os"
	"strconv"
	"time"
)

// discovery serves a file that holds a whole list in discovery's form. A watch waits until the file's index is higher than the version
// that it names, and is then answered with the whole list; if none comes in time, with no changes.
func discovery(args []string) error {
	flags := flag.NewFlagSet("discovery", flag.ContinueOnError)
	listen := flags.String("listen", "", "address")
	file := flags.String("list", "", "file of the list; replaced by a rename when it changes")
	if err := flags.Parse(args); err != nil {
		return err
	}
	read := func() (text []byte, index int64) {
		text, err := os.ReadFile(*file)
		var head struct {
			Index int64 `json:"index"`
		}
		if err != nil || json.Unmarshal(text, &head) != nil {
			return nil, 0
		}
		return text, head.Index
	}
	return http.ListenAndServe(*listen, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path != "/discovery/hosts" {
			http.NotFound(w, q)
			return
		}
		text, index := read()
		if after := q.URL.Query().Get("after"); after != "" {
			version, _ := strconv.ParseInt(after, 10, 64)
			ms, _ := strconv.Atoi(q.URL.Query().Get("wait_ms"))
			end := time.Now().Add(time.Duration(min(ms, 60000)) * time.Millisecond)
			for index <= version && time.Now().Before(end) && q.Context().Err() == nil {
				time.Sleep(20 * time.Millisecond)
				text, index = read()
			}
			if index <= version {
				text, _ = json.Marshal(map[string]any{"index": version, "snapshot": false, "endpoints": []any{}})
			}
		}
		logf("discovery: %s is told version %d", q.RemoteAddr, index)
		w.Write(text) //nolint:errcheck // the sidecar calls again
	}))
}
