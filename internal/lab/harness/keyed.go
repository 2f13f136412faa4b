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

// A keyed load sends keyed requests whose clients repeat them through other processes until they are served, and once more after
// that. The endpoints count the effects of each key. Copied holdings promise that no effect happens twice, that a delivered
// answer is delivered again to a repeat, and that a key never has two different answers; the load checks this.

// Parameters of a keyed load.
const (
	keyedClass     = "order"               // name of the class
	keyWindow      = 3 * time.Second       // endpoints drop repeats of a key for this long
	keyedWork      = 20 * time.Millisecond // an endpoint's work for each request
	maxTries       = 12                    // of one client for its key
	tryTimeout     = 2 * time.Second       // a client's timeout for one try
	maxPendingKeys = 256                   // further requests are skipped while so many clients are busy
)

// The rules of a keyed load, as they are named in violations.
const (
	Doubled         = "doubled"   // an effect happened twice
	TwoAnswers      = "two_ways"  // one key had two different answers
	Forgotten       = "forgotten" // an answer was delivered once, and was not delivered again
	NotLinearizable = "no_order"  // no order of events explains what clients and endpoints saw of a key
)

// KeyedRecord is the result of a keyed load.
type KeyedRecord struct {
	Keys       int     `json:"keys"`
	Served     int     `json:"served"`  // keys for which a client received an answer
	Tries      int     `json:"tries"`   // over all keys
	Refused    int     `json:"refused"` // tries that were answered with status 503
	Failed     int     `json:"failed"`  // tries with another status or without an answer
	Again      int     `json:"again"`   // repeats that received the same answer as before
	Dropped    int     `json:"dropped"` // requests that endpoints dropped as repeats
	Doubled    int     `json:"doubled"`
	TwoAnswers int     `json:"two_ways"`
	Forgotten  int     `json:"forgotten"`
	P50        float64 `json:"p50_ms"` // of first tries that were served
	P99        float64 `json:"p99_ms"`
	P999       float64 `json:"p99_9_ms"`
}

// keyedLoad is the state of a keyed load.
type keyedLoad struct {
	cluster *clusterRun

	mu         sync.Mutex             // guards what follows
	keys       map[string]*keyEffects // by key
	rec        KeyedRecord
	violations []string        // texts for the record; the first 20 only
	latency    []time.Duration // of first tries that were served
	history    keyHistory
}

// keyEffects holds the effects of a key. All endpoints share it.
type keyEffects struct {
	lastAt time.Time // time of the last effect
	reply  string    // of the last effect
	count  int       // number of effects
}

func newKeyedLoad(r *clusterRun) *keyedLoad {
	return &keyedLoad{cluster: r, keys: map[string]*keyEffects{}}
}

// serve answers a keyed request at an endpoint. It makes the effect unless the key had one within keyWindow.
func (o *keyedLoad) serve(w http.ResponseWriter, q *http.Request) {
	key := q.Header.Get("Idempotency-Key")
	io.Copy(io.Discard, q.Body) //nolint:errcheck // the client notices an error
	o.mu.Lock()
	effects := o.keys[key]
	if effects == nil {
		effects = &keyEffects{}
		o.keys[key] = effects
	}
	if now := time.Now(); effects.count > 0 && now.Before(effects.lastAt.Add(keyWindow)) {
		o.rec.Dropped++
	} else {
		effects.lastAt, effects.count = now, effects.count+1
		effects.reply = fmt.Sprintf("effect %d of %s", effects.count, key)
		o.history.add(keyOp{Key: key, Effect: true, Reply: effects.reply}, o.cluster.now(), o.cluster.now())
		if effects.count > 1 {
			o.recordViolation(&o.rec.Doubled, Doubled, "key %s: %d effects, the last one by request %s", key, effects.count, q.Header.Get("X-Txn"))
		}
	}
	reply := effects.reply
	o.mu.Unlock()
	time.Sleep(keyedWork)
	w.Write([]byte(reply)) //nolint:errcheck // the client notices an error
}

// recordViolation counts a violation and keeps the first ones as texts. o.mu is held.
func (o *keyedLoad) recordViolation(count *int, rule, format string, args ...any) {
	if *count++; len(o.violations) < 20 {
		o.violations = append(o.violations, fmt.Sprintf("%s at %.2fs: ", rule, o.cluster.now().Seconds())+fmt.Sprintf(format, args...))
	}
}

// run starts a client with a new key at an even rate until ctx ends, and waits for the clients that are still busy.
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
		default: // the maximum number of clients is busy: this key is skipped
		}
	}
}

// sendKey sends one key's request from its first try until an answer has been received twice, or until maxTries is reached.
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
		code, body := o.sendTry(client, p, key, try)
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
			o.recordViolation(&o.rec.TwoAnswers, TwoAnswers, "key %s: answered %q, and then %q through %s", key, reply, body, p.name)
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
		// Most clients repeat soon, and some only when the endpoints have forgotten the key.
		pause := time.Duration(rng.Int64N(int64(300 * time.Millisecond)))
		if rng.IntN(6) == 0 {
			pause += keyWindow
		}
		time.Sleep(pause)
	}
	if reply != "" && received < 2 {
		o.mu.Lock()
		o.recordViolation(&o.rec.Forgotten, Forgotten, "key %s: the answer %q was delivered once, and not again in %d tries", key, reply, maxTries)
		o.mu.Unlock()
	}
}

// sendTry makes one try through a process. The code is 0 if there was no answer.
func (o *keyedLoad) sendTry(client *http.Client, p *clusterProcess, key string, try int) (code int, body string) {
	q, err := http.NewRequest(http.MethodPost, "http://"+p.listen+"/"+keyedClass+"/x", strings.NewReader("one of "+key))
	if err != nil {
		return 0, ""
	}
	q.Header.Set("X-Txn", fmt.Sprintf("%s.%d.%s.%d", p.name, p.starts, key, try))
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

// finish adds the results of the keyed load to the record.
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

// awaitReplicated records how long it takes from now until all that a process held has its copies at other processes. token
// identifies the process's start.
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

// canLoseProcess reports whether one more process may be lost within what the holdings promise: no other fault is in effect, and
// each shard has all of its copies.
func (r *clusterRun) canLoseProcess() bool {
	for _, p := range r.procs {
		p.mu.Lock()
		well := p.running && !p.faulted
		p.mu.Unlock()
		if p.starts == 0 {
			continue
		}
		// A process without a lease has only just started, and the replicas that the ledger lists for its previous start are
		// empty.
		var a member.Status
		if !well || p.rpc.Call("acting", struct{}{}, &a, rpcTimeout) != nil || a.Cautious {
			return false
		}
	}
	return r.partitions.Load() == 0 && r.replicated(0)
}

// replicated reports whether each shard has all of its copies, by the leader's report, not counting replicas at the process with
// the given token. With token 0, all processes must also be members.
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

// leaderLedger returns the leader's ledger, or nil if no voter reports that it leads.
func (r *clusterRun) leaderLedger() *cluster.Ledger {
	for _, v := range r.procs[:r.scenario.Voters] {
		var st voter.Status
		if v.rpc.Call("status", struct{}{}, &st, rpcTimeout) == nil && st.Leader == v.name {
			return st.Ledger
		}
	}
	return nil
}
