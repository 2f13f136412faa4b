package member

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"heathgap/decide"
	"heathgap/internal/cluster"
	"heathgap/internal/config"
	"heathgap/internal/holdings"
	"heathgap/internal/metrics"
	"heathgap/internal/peerrpc"
)

// Times of a sidecar's holdings.
const (
	holdingsTick = 20 * time.Millisecond
	// storeTimeout is for one batch to a replica. The ages in a batch may be wrong by that much (see holdings.AgeSlack).
	storeTimeout = holdings.AgeSlack / 2
)

// holdingsService is a sidecar's part in the cluster's holdings: its store of replicas, and the claims of its own requests.
type holdingsService struct {
	member    *Member
	classes   map[string]heldClass
	maxBody   int
	maxMemory int64 // as in holdings.Limits
	lastClaim atomic.Uint64

	mu        sync.Mutex
	store     *holdings.Store // guarded by mu, as are the fields below up to pools
	me        holdings.Incarnation
	view      holdings.View // the newest one applied to the store
	addresses map[holdings.Incarnation]string
	stopped   bool
	pools     map[string]*clientPool

	refusalLogged map[holdings.Kind]time.Time // when a refusal of this kind was last logged; guarded by mu

	// Counters, all but background for the metrics: claims granted, requests that had finished before, requests refused, and (alone)
	// requests whose claim got no decision or that were served without their outcome being recorded. background is the number of
	// commands being retried in the background.
	claimed, known, refused, alone, background atomic.Int64
	backgroundBytes                            atomic.Int64 // what the outcomes of these commands take
}

func newHoldingsService(m *Member, conf *config.Config) (*holdingsService, error) {
	hs := &holdingsService{member: m, classes: map[string]heldClass{}, maxBody: m.conf.Holdings.MaxBody, pools: map[string]*clientPool{}, refusalLogged: map[holdings.Kind]time.Time{}}
	for name, whenAlone := range m.conf.Holdings.Classes {
		i := slices.IndexFunc(conf.Settings.Classes, func(class decide.Class) bool { return class.Name == name })
		if i < 0 || conf.Settings.Classes[i].Effect != decide.Keyed {
			return nil, fmt.Errorf("holdings.class: %q; allowed: a class of the settings whose effect is by_key", name)
		}
		class := conf.Settings.Classes[i]
		if keep := m.conf.Params.Holdings.Keep; class.Window > keep {
			return nil, fmt.Errorf("holdings.keep: %v, under the %v for which endpoints drop repeats of class %q; allowed: at least that", keep, class.Window, name)
		}
		hs.classes[name] = heldClass{class, whenAlone}
	}
	if m.conf.Params.Holdings.Copies > 1 && conf.Settings.Zone == "" {
		return nil, errors.New("holdings.copies: this sidecar's settings name no zone, and copies stand in different ones; set settings.az")
	}
	var b [8]byte
	rand.Read(b[:]) //nolint:errcheck // rand.Read never fails
	hs.lastClaim.Store(binary.BigEndian.Uint64(b[:]))
	if conf.HeldBytes == 0 {
		return nil, errors.New("holdings: no memory is reserved for them")
	}
	limits := holdings.Limits{MaxEntries: m.conf.Holdings.MaxEntries, MaxMemory: conf.HeldBytes, MaxBody: hs.maxBody}
	if err := limits.Check(); err != nil {
		return nil, fmt.Errorf("holdings.most_memory: %w", err)
	}
	hs.maxMemory = limits.MaxMemory
	hs.store = holdings.NewStore(m.conf.Params.Holdings, limits)
	return hs, nil
}

func (hs *holdingsService) now() cluster.BootTime { return hs.member.env.BootTime() }

// update applies what the newest grant brought. The caller holds the member's lock.
func (hs *holdingsService) update(holder *cluster.LeaseHolder) {
	me, view := holder.Incarnation(), holder.View()
	leaseEnd := holder.LeaseEnd()
	hs.mu.Lock()
	defer hs.mu.Unlock()
	hs.store.SetLease(leaseEnd)
	if view.Placement == nil || me == (holdings.Incarnation{}) {
		return
	}
	if !view.SameAs(&hs.view) || me != hs.me {
		hs.me, hs.view = me, view
		hs.addresses = map[holdings.Incarnation]string{}
		for _, m := range view.Members {
			hs.addresses[m.Incarnation] = cmp.Or(hs.member.conf.Routes[m.Name], hs.member.conf.Voters[m.Name], m.Address)
		}
		hs.store.ApplyView(hs.now(), me, view.Placement, view.Members)
		hs.dropUnusedPools()
	}
	hs.sendPending()
}

// leaseReport returns what the store has to report with the next renewal: the replicas that have caught up in the shards of which this
// sidecar is the primary, and unreachable peers.
func (hs *holdingsService) leaseReport() ([]holdings.CaughtUp, []holdings.Incarnation) {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	return hs.store.CaughtUp(), hs.store.Unreachable(hs.now())
}

// countReplicas returns the number of shards of which this sidecar has a replica.
func (hs *holdingsService) countReplicas() int {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	n := 0
	if hs.view.Placement != nil {
		for _, s := range hs.view.Placement.Shards {
			if slices.ContainsFunc(s.Replicas, func(replica holdings.Replica) bool { return replica.Incarnation == hs.me }) {
				n++
			}
		}
	}
	return n
}

// run calls the store's Tick and sends pending batches, every holdingsTick, until stop is called.
func (hs *holdingsService) run() {
	for {
		hs.member.env.Sleep(holdingsTick)
		hs.mu.Lock()
		if hs.stopped {
			hs.mu.Unlock()
			return
		}
		hs.store.Tick(hs.now())
		hs.sendPending()
		hs.mu.Unlock()
	}
}

func (hs *holdingsService) isStopped() bool {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	return hs.stopped
}

// stop makes run, sendBatches and the retries of execute end, without waiting for them, and closes the connections. Those in use are closed
// when their calls end.
func (hs *holdingsService) stop() {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	hs.stopped = true
	for _, pool := range hs.pools {
		pool.close()
	}
}

// sendPending starts sending the store's pending batches. The caller holds hs.mu.
func (hs *holdingsService) sendPending() {
	if hs.stopped {
		return
	}
	for _, to := range hs.store.PendingPeers() {
		if b := hs.store.NextBatch(hs.now(), to.Incarnation); b != nil {
			address := hs.addresses[to.Incarnation]
			hs.member.env.Go("copy", func() { hs.sendBatches(to.Incarnation, address, b) })
		}
	}
}

// sendBatches sends batches to one sidecar until none are left.
func (hs *holdingsService) sendBatches(to holdings.Incarnation, address string, batch *holdings.Batch) {
	for batch != nil {
		var reply *holdings.BatchReply
		received := holdings.BatchReply{}
		err := hs.call(context.Background(), address, "hold-store", batch, &received, storeTimeout)
		if err == nil {
			reply = &received
		} else {
			hs.member.env.Sleep(minRetryDelay)
		}
		hs.mu.Lock()
		hs.store.BatchDone(hs.now(), to, batch, reply)
		batch = nil
		if !hs.stopped {
			batch = hs.store.NextBatch(hs.now(), to)
		}
		hs.sendPending()
		hs.mu.Unlock()
	}
}

// handlers returns the handlers of peers' calls.
func (hs *holdingsService) handlers() map[string]peerrpc.Handler {
	return map[string]peerrpc.Handler{
		"hold-ask": func(_ string, body []byte) (any, error) {
			var command holdings.Command
			if err := peerrpc.Decode(body, &command); err != nil {
				return nil, fmt.Errorf("hold-ask: malformed: %w", err)
			}
			if err := command.Check(); err != nil {
				return nil, fmt.Errorf("hold-ask: %w", err)
			}
			return hs.handleCommand(context.Background(), &command, commandTimeout), nil
		},
		"hold-show": func(_ string, body []byte) (any, error) {
			var key holdings.Key
			if err := peerrpc.Decode(body, &key); err != nil {
				return nil, fmt.Errorf("hold-show: malformed: %w", err)
			}
			hs.mu.Lock()
			defer hs.mu.Unlock()
			var s KeyState
			s.Entry, s.Found = hs.store.Peek(hs.now(), key)
			return s, nil
		},
		"hold-store": func(_ string, body []byte) (any, error) {
			var b holdings.Batch
			if err := peerrpc.Decode(body, &b); err != nil {
				return nil, fmt.Errorf("hold-store: malformed: %w", err)
			}
			hs.mu.Lock()
			defer hs.mu.Unlock()
			answer := hs.store.HandleBatch(hs.now(), &b)
			if answer == nil {
				return nil, errors.New("hold-store: for another incarnation than the present one")
			}
			return answer, nil
		},
	}
}

// KeyState is what a sidecar's store has of a key.
type KeyState struct {
	Found bool           `cbor:"1,keyasint"`
	Entry holdings.Entry `cbor:"2,keyasint"`
}

// handleCommand processes an owner's command as the primary. It returns AnswerNone if there is no answer within the timeout, or before the
// context ends. The store may still execute the command after that, so the caller must not change it any more.
func (hs *holdingsService) handleCommand(ctx context.Context, command *holdings.Command, timeout time.Duration) holdings.Answer {
	answers := make(chan holdings.Answer, 1)
	hs.mu.Lock()
	hs.store.Handle(hs.now(), command, func(answer holdings.Answer) { answers <- answer })
	hs.sendPending()
	hs.mu.Unlock()
	timer := hs.member.env.NewTimer(timeout)
	defer timer.Stop()
	select {
	case answer := <-answers:
		return answer
	case <-timer.C():
	case <-ctx.Done():
	}
	select {
	case answer := <-answers: // it came at the same time
		return answer
	default:
		return holdings.Answer{Kind: holdings.AnswerNone}
	}
}

// appendMetrics appends the metrics of the holdings.
func (hs *holdingsService) appendMetrics(text []byte) []byte {
	hs.mu.Lock()
	entries, bytes, memory := hs.store.Entries, hs.store.Bytes, hs.store.Memory
	hs.mu.Unlock()
	for _, f := range []struct {
		name  string
		value int64
		kind  byte
	}{
		{"held_entries", int64(entries), metrics.Gauge}, {"held_bytes", int64(bytes), metrics.Gauge},
		{"held_memory", memory, metrics.Gauge}, {"held_memory_most", hs.maxMemory, metrics.Gauge},
		{"held_claims", hs.claimed.Load(), metrics.Counter}, {"held_known", hs.known.Load(), metrics.Counter},
		{"held_refused", hs.refused.Load(), metrics.Counter}, {"held_alone", hs.alone.Load(), metrics.Counter},
	} {
		text = metrics.Append(text, f.name, f.value, f.kind)
	}
	return text
}
