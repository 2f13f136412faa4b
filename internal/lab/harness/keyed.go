package harness

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"heathgap/internal/cluster"
	"heathgap/internal/cluster/member"
	"heathgap/internal/cluster/voter"
)

// Orders: keyed requests whose clients repeat them through other processes until they are served, and once more after that.
// Endpoints count each effect. An effect that happens twice, an answer that was told and is not told again, and two answers to
// one key break what copied holdings promise.

// Figures of orders.
const (
	keyedClass     = "order"
	keyWindow      = 3 * time.Second // in which endpoints drop repeats
	keyedWork      = 20 * time.Millisecond
	maxTries       = 12
	tryTimeout     = 2 * time.Second // for one try, its client's patience
	maxPendingKeys = 256             // under way at a time
)

// The rules of orders.
const (
	Doubled         = "doubled"   // an effect happened twice
	TwoAnswers      = "two_ways"  // one key had two answers
	Forgotten       = "forgotten" // an answer was told, and was not told again
	NotLinearizable = "no_order"  // what happened to a key fits no order of events
)

// KeyedRecord is what came of a run's orders.
type KeyedRecord struct {
	Keys       int     `json:"keys"`
	Served     int     `json:"served"` // keys that had an answer in the end
	Tries      int     `json:"tries"`
	Refused    int     `json:"refused"`
	Failed     int     `json:"failed"`
	Again      int     `json:"again"` // answers that were told again, by another process
	Dropped    int     `json:"dropped"`
	Doubled    int     `json:"doubled"`
	TwoAnswers int     `json:"two_ways"`
	Forgotten  int     `json:"forgotten"`
	P50        float64 `json:"p50_ms"` // of first tries that were served
	P99        float64 `json:"p99_ms"`
	P999       float64 `json:"p99_9_ms"`
}

// keyedLoad is a run's.
type keyedLoad struct {
	cluster *clusterRun

	mu         sync.Mutex
	keys       map[string]*keyEffects
	rec        KeyedRecord
	violations []string
	latency    []time.Duration
	history    keyHistory
}

// keyEffects is what the endpoints know of a key: they share that.
type keyEffects struct {
	lastAt  time.Time
	reply   string
	effects int
}

func newKeyedLoad(r *clusterRun) *keyedLoad {
	return &keyedLoad{cluster: r, keys: map[string]*keyEffects{}}
}

// serve is an endpoint's part.
func (o *keyedLoad) serve(w http.ResponseWriter, q *http.Request) {
	key := q.Header.Get("Idempotency-Key")
	io.Copy(io.Discard, q.Body) //nolint:errcheck // its client shows
	o.mu.Lock()
	effects := o.keys[key]
	if effects == nil {
		effects = &keyEffects{}
		o.keys[key] = effects
	}
	if now := time.Now(); effects.effects > 0 && now.Before(effects.lastAt.Add(keyWindow)) {
		o.rec.Dropped++
	} else {
		effects.lastAt, effects.effects = now, effects.effects+1
		effects.reply = fmt.Sprintf("effect %d of %s", effects.effects, key)
		o.history.add(keyOp{Key: key, Effect: true, Reply: effects.reply}, o.cluster.now(), o.cluster.now())
		if effects.effects > 1 {
			o.recordViolation(&o.rec.Doubled, Doubled, "key %s: %d effects, by %s", key, effects.effects, q.Header.Get("X-Txn"))
		}
	}
	reply := effects.reply
	o.mu.Unlock()
	time.Sleep(keyedWork)
	w.Write([]byte(reply)) //nolint:errcheck // its client shows
}

// recordViolation books a break. The lock is held.
func (o *keyedLoad) recordViolation(count *int, rule, format string, args ...any) {
	if *count++; len(o.violations) < 20 {
		o.violations = append(o.violations, fmt.Sprintf("%s at %.2fs: ", rule, o.cluster.now().Seconds())+fmt.Sprintf(format, args...))
	}
}

// run places orders at an even pace until the context ends, and waits for those under way.
func (o *keyedLoad) run(ctx context.Context) {
	rng := rand.New(rand.NewPCG(o.cluster.seed, 0x0d5))
	ticker := time.NewTicker(time.Duration(float64(time.Second) / o.cluster.scenario.KeyedRate))
	defer ticker.Stop()
	var pending sync.WaitGroup
	defer pending.Wait()
	slots := make(chan struct{}, maxPendingKeys)
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		seed := rng.Uint64()
		select {
		case slots <- struct{}{}:
			pending.Go(func() {
				o.sendKey(n, rand.New(rand.NewPCG(seed, 0)))
				<-slots
			})
		default: // all clients wait
		}
	}
}

// sendKey is one client's order, from its first try until it has heard its answer twice.
func (o *keyedLoad) sendKey(n int, rng *rand.Rand) {
	client := &http.Client{Timeout: tryTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	key, reply := fmt.Sprintf("o%d", n), ""
	o.mu.Lock()
	o.rec.Keys++
	o.mu.Unlock()
	received := 0
	for try := 0; try < maxTries && received < 2; try++ {
		p := o.cluster.procs[rng.IntN(len(o.cluster.procs))]
		if !p.isRunning() {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		began, from := time.Now(), o.cluster.now()
		code, body := o.send(client, p, key, try)
		o.mu.Lock()
		o.rec.Tries++
		if code != http.StatusOK {
			body = ""
		}
		o.history.add(keyOp{Key: key, Reply: body}, from, o.cluster.now())
		switch {
		case code == http.StatusOK && reply == "":
			reply = body
			o.rec.Served++
			received++
			if try == 0 {
				o.latency = append(o.latency, time.Since(began))
			}
		case code == http.StatusOK && body != reply:
			o.recordViolation(&o.rec.TwoAnswers, TwoAnswers, "key %s: %q, and then %q by %s", key, reply, body, p.name)
			received++
		case code == http.StatusOK:
			o.rec.Again++
			received++
		case code == http.StatusServiceUnavailable:
			o.rec.Refused++
		default:
			o.rec.Failed++
		}
		o.mu.Unlock()
		// Some come back at once, some when endpoints have forgotten the key.
		pause := time.Duration(rng.Int64N(int64(300 * time.Millisecond)))
		if rng.IntN(6) == 0 {
			pause += keyWindow
		}
		time.Sleep(pause)
	}
	if reply != "" && received < 2 {
		o.mu.Lock()
		o.recordViolation(&o.rec.Forgotten, Forgotten, "key %s: %q was told, and not again in %d tries", key, reply, maxTries)
		o.mu.Unlock()
	}
}

func (o *keyedLoad) send(client *http.Client, p *clusterProcess, key string, send int) (code int, body string) {
	q, err := http.NewRequest(http.MethodPost, "http://"+p.listen+"/"+keyedClass+"/x", strings.NewReader("one of "+key))
	if err != nil {
		return 0, ""
	}
	q.Header.Set("X-Txn", fmt.Sprintf("%s.%d.%s.%d", p.name, p.starts, key, send))
	q.Header.Set("X-Remaining", "0.7")
	q.Header.Set("Idempotency-Key", key)
	answer, err := client.Do(q)
	if err != nil {
		return 0, ""
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, ""
	}
	return answer.StatusCode, string(text)
}

// finish books what came of the orders.
func (o *keyedLoad) finish(rec *ClusterRecord) {
	o.mu.Lock()
	defer o.mu.Unlock()
	slices.Sort(o.latency)
	if n := len(o.latency); n > 0 {
		o.rec.P50, o.rec.P99, o.rec.P999 = millis(o.latency[n/2]), millis(o.latency[n*99/100]), millis(o.latency[n*999/1000])
	}
	if !o.history.linearizable() {
		o.violations = append(o.violations, NotLinearizable+" at the end: the history of some key fits no order of events")
		rec.NumViolations++
	}
	rec.Keyed = &o.rec
	rec.Violations = append(rec.Violations, o.violations...)
	rec.NumViolations += o.rec.Doubled + o.rec.TwoAnswers + o.rec.Forgotten
}

// awaitReplicated books how long it takes from now on until all that a process held has its copies elsewhere.
func (r *clusterRun) awaitReplicated(ctx context.Context, token uint64) {
	began := r.now()
	for ; ctx.Err() == nil && r.now() < began+leaderTimeout; time.Sleep(statusInterval) {
		if r.replicated(token) {
			r.mu.Lock()
			r.rec.ReplicatedMS = append(r.rec.ReplicatedMS, millis(r.now()-began))
			r.mu.Unlock()
			return
		}
	}
}

// canLoseProcess tells whether a machine more may be lost within what is promised: nothing else is struck, and each shard has all
// of its copies.
func (r *clusterRun) canLoseProcess() bool {
	for _, p := range r.procs {
		p.mu.Lock()
		well := p.running && !p.faulted
		p.mu.Unlock()
		if p.starts == 0 {
			continue
		}
		// Who holds no lease was started a moment ago: the replicas that the ledger still has for the process before are empty.
		var a member.Status
		if !well || p.rpc.Call("acting", struct{}{}, &a, rpcTimeout) != nil || a.Cautious {
			return false
		}
	}
	return r.partitions.Load() == 0 && r.replicated(0)
}

// replicated tells whether each shard has all of its copies, by the leader's word, none of them at a process that is away: a token.
func (r *clusterRun) replicated(token uint64) bool {
	st := r.leaderLedger()
	if st == nil || st.Placement == nil || token == 0 && len(st.Members) < r.scenario.Voters+r.scenario.Members {
		return false
	}
	for _, s := range st.Placement.Shards {
		ready := 0
		for _, replica := range s.Replicas {
			if replica.Ready && st.JoinEpochs[replica.Name] == replica.JoinEpoch && replica.Token != token {
				ready++
			}
		}
		if ready < r.scenario.Copies {
			return false
		}
	}
	return true
}

// leaderLedger is the leader's; nil where none says that it leads.
func (r *clusterRun) leaderLedger() *cluster.Ledger {
	for _, k := range r.procs[:r.scenario.Voters] {
		var st voter.Status
		if k.rpc.Call("status", struct{}{}, &st, rpcTimeout) == nil && st.Leader == k.name {
			return st.Ledger
		}
	}
	return nil
}
