package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

func init() { cases["8"] = lastChunkInPieces }

// lastChunkInPieces: an endpoint writes its answers in chunks and in pieces.
func lastChunkInPieces(r *run) bool {
	const pause = 300 * time.Millisecond
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.fail("%v", err)
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				for in := bufio.NewReader(conn); ; {
					m, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, m.Body); err != nil {
						return
					}
					id := m.Header.Get("X-Txn")
					text := "made for " + id + "\n"
					pieces := []string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(text), text), "0\r\n", "\r\n"}
					if !r.trouble {
						pieces = []string{strings.Join(pieces, "")}
					}
					for i, piece := range pieces {
						if i == 3 {
							time.Sleep(pause)
						}
						if _, err := io.WriteString(conn, piece); err != nil {
							r.note("endpoint: %s: piece %d: %v", id, i+1, err)
							return
						}
					}
					r.note("endpoint: %s has run; the answer is written whole, in %d pieces", id, len(pieces))
				}
			}()
		}
	}()
	known := []listed{{Name: "e-1", Address: l.Addr().String(), Zone: "a", Status: "SERVING", Weight: 1}}
	listen := r.freeAddress()
	p := r.start("n1", []string{"BALANCER_CONFIG=" + r.configure("n1", listen, settings("a", 0, 1, class{"pay", "by_key", 4000}), newDiscovery(r, known).address, known)})
	p.listen = listen
	r.awaitUp(p)
	lost := 0
	for i := range 10 {
		if a := r.order(p, "pay", fmt.Sprintf("payment-%d", i), 1900*time.Millisecond); a.status == 0 {
			lost++
		}
	}
	r.note("%d of 10 requests got no whole answer", lost)
	return lost > 0
}
