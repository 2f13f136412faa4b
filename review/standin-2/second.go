package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["6"] = secondAnswer }

const (
	wayTime    = 300 * time.Microsecond // that bytes take between the sidecar and an endpoint, each way: same_ms of the site
	clientWay  = time.Millisecond       // that bytes take between a client and the sidecar, each way, at most: client_ms; a fifth of it at least
	secondLate = 2 * time.Millisecond   // that a second answer comes behind the first
	lookWork   = 100 * time.Millisecond // an endpoint's work for a request
	secondPart = 20                     // one answer in so many has a second one behind it
)

// secondAnswer: under load, with all connections to endpoints in use, some good answers are followed by a second copy.
func secondAnswer(r *run) bool {
	r.sockets = 256
	var seconds atomic.Int64
	var known []listed
	for i := range 30 {
		name := fmt.Sprintf("e-%d", i+1)
		known = append(known, listed{Name: name, Address: r.delayed(r.copier(&seconds)), Zone: "a", Group: i, Status: "SERVING", Weight: 1})
	}
	d := newDiscovery(r, known)
	listen := r.freeAddress()
	p := r.start("n1", []string{"BALANCER_CONFIG=" + r.configure("n1", listen, settings("a", 0, 1, class{"look", "repeatable", 0}), d.address, known)})
	p.listen = listen
	r.awaitUp(p)
	var asked, good, foreign, other atomic.Int64
	var clients sync.WaitGroup
	end := time.Now().Add(15 * time.Second)
	for range 80 {
		clients.Go(func() {
			var conn net.Conn
			var in *bufio.Reader
			for time.Now().Before(end) {
				if conn == nil {
					var err error
					if conn, err = net.Dial("tcp", listen); err != nil {
						return
					}
					in = bufio.NewReader(conn)
				}
				time.Sleep(2*clientWay/5 + time.Duration(rand.Int64N(int64(8*clientWay/5)))) // the last answer's way to the client, and the request's
				id := r.id()
				asked.Add(1)
				conn.SetDeadline(time.Now().Add(3 * time.Second)) //nolint:errcheck // a failure shows with the read
				fmt.Fprintf(conn, "GET /look/x HTTP/1.1\r\nHost: s\r\nX-Txn: %s\r\nX-Remaining: 2.000\r\n\r\n", id)
				m, err := http.ReadResponse(in, nil)
				var body []byte
				if err == nil {
					body, err = io.ReadAll(m.Body)
				}
				if err != nil || m.Close {
					conn.Close()
					conn = nil
				}
				switch {
				case err != nil || m.StatusCode != 200:
					other.Add(1)
				case strings.TrimSpace(string(body)) == "made for "+id:
					good.Add(1)
				default:
					if foreign.Add(1) <= 20 {
						r.note("client: request %s is answered 200 %q", id, strings.TrimSpace(string(body)))
					}
				}
			}
			if conn != nil {
				conn.Close()
			}
		})
	}
	clients.Wait()
	r.note("80 clients for 15 s: %d requests, %d with their own answer, %d with that of another request, %d refused or failed; %d second answers were sent",
		asked.Load(), good.Load(), foreign.Load(), other.Load(), seconds.Load())
	return foreign.Load() > 0
}

// copier starts an endpoint that sends some answers twice, where nothing else waits on the connection, and returns its address.
func (r *run) copier(seconds *atomic.Int64) string {
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
				ids := make(chan string, 16)
				go func() {
					defer close(ids)
					for in := bufio.NewReader(conn); ; {
						m, err := http.ReadRequest(in)
						if err != nil {
							return
						}
						ids <- m.Header.Get("X-Txn")
					}
				}()
				next := ""
				for {
					id, ok := next, true
					if next = ""; id == "" {
						if id, ok = <-ids; !ok {
							return
						}
					}
					time.Sleep(lookWork)
					text := "made for " + id + "\n"
					message := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
					if _, err := io.WriteString(conn, message); err != nil {
						return
					}
					if !r.trouble || rand.IntN(secondPart) > 0 {
						continue
					}
					select {
					case next, ok = <-ids: // something else waits: no second answer
						if !ok {
							return
						}
					case <-time.After(secondLate):
						if seconds.Add(1) <= 20 {
							r.note("endpoint: the answer for %s again, %v behind it; nothing else has come", id, secondLate)
						}
						if _, err := io.WriteString(conn, message); err != nil {
							return
						}
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// delayed starts a proxy whose bytes take wayTime each way, and returns its address.
func (r *run) delayed(to string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.fail("%v", err)
	}
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", to)
			if err != nil {
				near.Close()
				continue
			}
			go carry(near, far)
			go carry(far, near)
		}
	}()
	return l.Addr().String()
}

// carry passes bytes on, wayTime after they have come, and the end.
func carry(from, to net.Conn) {
	type piece struct {
		bytes []byte
		due   time.Time
	}
	pieces := make(chan piece, 1024)
	go func() {
		defer to.Close()
		for p := range pieces {
			time.Sleep(time.Until(p.due))
			if _, err := to.Write(p.bytes); err != nil {
				from.Close()
			}
		}
	}()
	defer close(pieces)
	for {
		buf := make([]byte, 4096)
		n, err := from.Read(buf)
		if n > 0 {
			pieces <- piece{buf[:n], time.Now().Add(wayTime)}
		}
		if err != nil {
			return
		}
	}
}
