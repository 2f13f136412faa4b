package rig

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// hosts deals out addresses of 127.0.0.0/8, one for each stand-in and sidecar. They
// lie off 127.0.0.1, from which the kernel makes connections, so that no such
// connection takes a port that something is to return to.
type hosts struct {
	mu   sync.Mutex
	net  int // second byte
	next int // third and fourth
}

// The parts of the loopback net that runs use, each by the lab's process id, so
// that two runs at once rarely meet; where they do, another port is found.
const (
	firstNet   = 16
	nets       = 200
	hostsOfNet = 250
)

func newHosts() *hosts {
	pid := os.Getpid()
	return &hosts{net: firstNet + pid%nets, next: (pid / nets % 200) * hostsOfNet}
}

func (h *hosts) take() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.next++
	n := h.next % (hostsOfNet * hostsOfNet)
	return fmt.Sprintf("127.%d.%d.%d", h.net, n/hostsOfNet, 1+n%hostsOfNet)
}

// freePort finds a port of a host that nobody listens on.
func freePort(host string) (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
