package member

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"heathgap/internal/peerrpc"
)

// maxClientsPerPeer bounds the connections to one sidecar, which the goroutines of its callers share.
const maxClientsPerPeer = 16

// clientPool holds the connections to one address.
type clientPool struct {
	free   chan *peerrpc.Client
	made   atomic.Int64
	closed atomic.Bool // connections are closed once idle: no member uses the address any more, or the service has stopped
}

// call makes a call on a connection that no other call uses meanwhile. The timeout includes the wait for that connection. It fails when the
// context ends.
func (hs *holdingsService) call(ctx context.Context, address, kind string, body, reply any, timeout time.Duration) error {
	deadline := hs.member.env.Now().Add(timeout)
	hs.mu.Lock()
	pool := hs.pools[address]
	if pool == nil {
		pool = &clientPool{free: make(chan *peerrpc.Client, maxClientsPerPeer)}
		hs.pools[address] = pool
	}
	hs.mu.Unlock()
	client, err := pool.get(ctx, hs, address, timeout)
	if err != nil {
		return err
	}
	err = errBusy
	if left := deadline.Sub(hs.member.env.Now()); left > 0 {
		err = client.CallContext(ctx, kind, body, reply, left)
	}
	pool.free <- client // does not block: the channel has a slot for each connection
	if pool.closed.Load() {
		pool.close()
	}
	return err
}

// errBusy means that no connection of a pool became free in time.
var errBusy = errors.New("all connections to it are busy")

// get returns a free connection, or makes one if there are fewer than maxClientsPerPeer. Otherwise it waits for one to become free, until
// the timeout has passed or the context ends.
func (p *clientPool) get(ctx context.Context, hs *holdingsService, address string, timeout time.Duration) (*peerrpc.Client, error) {
	select {
	case client := <-p.free:
		return client, nil
	default:
	}
	if p.made.Add(1) <= maxClientsPerPeer {
		return peerrpc.NewClient(hs.member.env, hs.member.conf.Name, hs.member.holder.Self.Name, address), nil
	}
	p.made.Add(-1)
	timer := hs.member.env.NewTimer(timeout)
	defer timer.Stop()
	select {
	case client := <-p.free:
		return client, nil
	case <-timer.C():
		return nil, errBusy
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// close closes the idle connections. Those in use are closed when their calls end.
func (p *clientPool) close() {
	p.closed.Store(true)
	for {
		select {
		case client := <-p.free:
			client.Close()
		default:
			return
		}
	}
}

// dropUnusedPools closes connections to addresses that no member uses any more. The caller holds hs.mu.
func (hs *holdingsService) dropUnusedPools() {
	inUse := map[string]bool{}
	for _, address := range hs.addresses {
		inUse[address] = true
	}
	for address, pool := range hs.pools {
		if !inUse[address] {
			pool.close()
			delete(hs.pools, address)
		}
	}
}
