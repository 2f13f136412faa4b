package harness

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
)

// hostAllocator deals out addresses of 127.0.0.0/8, one for each stand-in and sidecar. They
// lie off 127.0.0.1, from which the kernel makes connections, so that no such
// connection takes a port that something is to return to.
//
// A host belongs to one run at a time, of all runs of all labs on the machine: the run
// that listens at its guard port. A port is dealt out once, from below those that the
// kernel draws from. Ports that the kernel drew and that were given back before a
// process listened there were met twice: one in 6,250 times the kernel draws the same
// port for a host again, and a process was told to listen at one port for two purposes.
type hostAllocator struct {
	mu     sync.Mutex
	net    int // second byte
	next   int // third and fourth
	port   int
	guards []net.Listener // until close
}

// The parts of the loopback net that runs use, each by the lab's process id, so
// that two runs at once rarely look for the same ones.
const (
	firstNet     = 16
	numNets      = 200
	hostsPerByte = 250
	maxHosts     = hostsPerByte * hostsPerByte

	guardPort = 19999
	firstPort = 20000
	lastPort  = 32767 // the kernel draws from 32768 on, unless set otherwise
)

func newHostAllocator() *hostAllocator {
	pid := os.Getpid()
	return &hostAllocator{net: firstNet + pid%numNets, next: (pid / numNets % 200) * hostsPerByte, port: firstPort}
}

// acquire returns a host that no other run has.
func (h *hostAllocator) acquire() (string, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for range maxHosts {
		h.next++
		n := h.next % maxHosts
		host := fmt.Sprintf("127.%d.%d.%d", h.net, n/hostsPerByte, 1+n%hostsPerByte)
		guard, err := net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(guardPort)))
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			return "", err
		}
		h.guards = append(h.guards, guard)
		return host, nil
	}
	return "", fmt.Errorf("no host of 127.%d.0.0/16 is free: other runs hold port %d of all of them", h.net, guardPort)
}

// address returns an address of a host that was taken: one that nobody listens at, and that was not dealt out before.
func (h *hostAllocator) address(host string) (string, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for ; h.port <= lastPort; h.port++ {
		address := net.JoinHostPort(host, strconv.Itoa(h.port))
		listener, err := net.Listen("tcp", address)
		if errors.Is(err, syscall.EADDRINUSE) { // something listens there at all hosts
			continue
		}
		if err != nil {
			return "", err
		}
		h.port++
		return address, listener.Close()
	}
	return "", fmt.Errorf("no port of %s from %d to %d is left", host, firstPort, lastPort)
}

// close gives all hosts back, once what ran there has ended.
func (h *hostAllocator) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, g := range h.guards {
		g.Close()
	}
	h.guards = nil
}
