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

// hostAllocator allocates hosts of 127.0.0.0/8, one for each fake service and sidecar, and addresses at them. It does not use
// 127.0.0.1, since the kernel makes outgoing connections from there, and such a connection could take a port that a restarted
// process needs again.
//
// A host belongs to one run at a time, over all labs on the machine: to the run that listens at the host's guard port. Each port
// is allocated only once, from a range below the one from which the kernel picks ports. Two failures came
// from ports that the kernel picked and that were closed before a process listened there: in one of 6,250 cases the kernel picks
// the same port for a host again, and a process was then configured to listen at one port for two purposes.
type hostAllocator struct {
	mu     sync.Mutex
	net    int            // second byte of the hosts' addresses
	last   int            // number of the host that was tried last: third and fourth byte
	port   int            // the next port to allocate
	guards []net.Listener // listeners at the guard ports, until close
}

// The part of 127.0.0.0/8 that a run uses depends on the lab's process id, so that two runs at the same time rarely try the same
// hosts.
const (
	firstNet     = 16
	numNets      = 200
	hostsPerByte = 250
	maxHosts     = hostsPerByte * hostsPerByte

	guardPort = 19999
	firstPort = 20000
	lastPort  = 32767 // the kernel picks from 32768 on, unless it is configured otherwise
)

func newHostAllocator() *hostAllocator {
	pid := os.Getpid()
	return &hostAllocator{net: firstNet + pid%numNets, last: (pid / numNets % 200) * hostsPerByte, port: firstPort}
}

// acquire returns a host that no other run uses.
func (h *hostAllocator) acquire() (string, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for range maxHosts {
		h.last++
		n := h.last % maxHosts
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

// address returns an address at an acquired host, with a port that has not been allocated before and at which nothing listens.
func (h *hostAllocator) address(host string) (string, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for ; h.port <= lastPort; h.port++ {
		address := net.JoinHostPort(host, strconv.Itoa(h.port))
		listener, err := net.Listen("tcp", address)
		if errors.Is(err, syscall.EADDRINUSE) { // a process listens at this port on all hosts
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

// close releases all hosts. What ran there must have ended.
func (h *hostAllocator) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, g := range h.guards {
		g.Close()
	}
	h.guards = nil
}
