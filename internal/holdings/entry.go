package holdings

import (
	"errors"
	"fmt"
	"time"

	"heathgap/decide"
)

// BootTime is a moment on a machine's clock that goes on while it is suspended. Moments of two machines are never compared: what is
// said of times are ages.
type BootTime = time.Duration

// Bounds of an entry.
const (
	MaxName        = 256      // bytes of a class, a tenant or a key
	MaxBody        = 64 << 10 // bytes of an answer that is kept, at most; longer ones are marked as too long
	FingerprintLen = 16       // bytes of a request's fingerprint
	// MaxLifetime is how long a claim may stand by its owner's word: as long as a caller may say that it waits.
	MaxLifetime = time.Hour
)

// State is how far a request is.
type State uint8

// The states.
const (
	Claimed State = iota + 1 // its owner may be sending it
	Unknown                  // its owner gave up: it may have run
	Done                     // it has its outcome
	Free                     // nothing of it was ever sent: the key may be claimed again
)

// String is the word that people read.
func (s State) String() string {
	return [...]string{"none", "claimed", "unknown", "done", "free"}[min(int(s), 4)]
}

// Rev orders what was said of a key: the later configuration's word stands, and the later one of a configuration.
type Rev struct {
	Config uint64 `cbor:"1,keyasint"`
	Count  uint64 `cbor:"2,keyasint"`
}

func (r Rev) before(other Rev) bool {
	return r.Config < other.Config || r.Config == other.Config && r.Count < other.Count
}

// Fingerprint identifies what a request asks for: the same key with another print is another request's.
type Fingerprint [FingerprintLen]byte

// Outcome is the answer that a request had.
type Outcome struct {
	Type     string `cbor:"1,keyasint,omitempty"` // of its content
	Encoding string `cbor:"2,keyasint,omitempty"`
	Body     []byte `cbor:"3,keyasint,omitempty"`
	TooLong  bool   `cbor:"4,keyasint,omitempty"` // the body was too long to keep
}

// Entry is what is held of one key.
type Entry struct {
	Key   Key         `cbor:"1,keyasint"`
	Rev   Rev         `cbor:"2,keyasint"`
	State State       `cbor:"3,keyasint"`
	Owner Incarnation `cbor:"4,keyasint"`
	Claim uint64      `cbor:"5,keyasint"` // of the owner's request
	// Lifetime is how long after its claim the owner may act on it, by its own word.
	Lifetime    time.Duration `cbor:"10,keyasint"`
	Fingerprint Fingerprint   `cbor:"6,keyasint"`
	Outcome     *Outcome      `cbor:"7,keyasint,omitempty"`
	// Age is how long ago the key was claimed first, and Still when it last changed, at the moment of saying so.
	Age         time.Duration `cbor:"8,keyasint"`
	SinceChange time.Duration `cbor:"9,keyasint"`
}

// size is about how many bytes it takes on the way.
func (e *Entry) size() int {
	n := 96 + len(e.Key.Class) + len(e.Key.Tenant) + len(e.Key.Text)
	if e.Outcome != nil {
		n += len(e.Outcome.Body) + len(e.Outcome.Type) + len(e.Outcome.Encoding)
	}
	return n
}

// Command is an owner's word to a shard's primary.
type Command struct {
	Op          Op            `cbor:"1,keyasint"`
	Key         Key           `cbor:"2,keyasint"`
	Owner       Incarnation   `cbor:"3,keyasint"`
	Claim       uint64        `cbor:"4,keyasint"`
	Lifetime    time.Duration `cbor:"8,keyasint"` // of Open and Again: the request ends by then
	Fingerprint Fingerprint   `cbor:"5,keyasint"`
	Rev         Rev           `cbor:"6,keyasint"` // of the unknown entry that Again takes over
	Outcome     *Outcome      `cbor:"7,keyasint,omitempty"`
}

// Check turns down an ask that breaks a bound. Its error begins with what is wrong.
func (c *Command) Check() error {
	switch {
	case c.Op < OpClaim || c.Op > OpDrop:
		return fmt.Errorf("do: %d; allowed: %d to %d", c.Op, OpClaim, OpDrop)
	case c.Key.Text == "" || max(len(c.Key.Text), len(c.Key.Class), len(c.Key.Tenant), len(c.Owner.Name)) > MaxName:
		return fmt.Errorf("key, class, tenant, owner: allowed: a key, and up to %d bytes each", MaxName)
	case c.Outcome != nil && len(c.Outcome.Body) > MaxBody:
		return fmt.Errorf("outcome: %d bytes; allowed: up to %d", len(c.Outcome.Body), MaxBody)
	case c.Op == OpFinish && c.Outcome == nil:
		return errors.New("outcome: missing")
	case c.Lifetime < 0 || c.Lifetime > MaxLifetime:
		return fmt.Errorf("lasts: %v; allowed: 0s to %v", c.Lifetime, MaxLifetime)
	}
	return nil
}

// Op is what an owner wants.
type Op uint8

// What owners want. Each may be said again when its answer is lost.
const (
	OpClaim   Op = iota + 1 // claim the key, or be told what is known of it
	OpReclaim               // claim a key whose outcome is unknown: its endpoints drop repeats still
	OpFinish                // it has this outcome
	OpGiveUp                // it may have run, and its outcome will not be known
	OpDrop                  // nothing of it was sent
)

// Kind is what a primary answers.
type Kind uint8

// The answers. Only the first three rest on the word of all replicas.
const (
	AnswerOK             Kind = iota + 1 // done as asked, and copied
	AnswerFinished                       // it has an outcome already: Outcome
	AnswerUnknown                        // it was out, and nobody knows what came of it: Rev and Age
	AnswerRunning                        // another owner has it, who is in the crew
	AnswerMismatch                       // the key came with another request before
	AnswerLost                           // what this shard held was lost, and nobody knows of this key
	AnswerTooFewReplicas                 // there are not as many replicas as copies are wanted
	AnswerFull                           // no room for another entry
	AnswerFenced                         // the claim is another's now
	AnswerNotPrimary                     // the shard's primary is another one, or not known: ask again with a newer placement
	AnswerNone                           // no answer came
)

// String is the word that people read.
func (k Kind) String() string {
	return [...]string{"none", "yes", "was", "unclear", "running", "other", "missing", "short", "full", "fenced", "not here", "away"}[min(int(k), 11)]
}

// Answer is a primary's.
type Answer struct {
	Kind    Kind          `cbor:"1,keyasint"`
	Outcome *Outcome      `cbor:"2,keyasint,omitempty"`
	Rev     Rev           `cbor:"3,keyasint"`
	Age     time.Duration `cbor:"4,keyasint,omitempty"`
}

// AgeSlack is what ages may be wrong by: a word is said again when its yes takes longer, and each saying moves an age by the time
// on its way at most.
const AgeSlack = time.Second

// MayRepeat tells whether a request of a keyed class whose outcome is unknown may go out again, for so long: whether all
// endpoints that it may come to drop it until then. Classes whose endpoints do not all share their memory are never
// repeated: which of them had it is not held.
func MayRepeat(c *decide.Class, age, remaining time.Duration, drift float64) bool {
	if c.Effect != decide.Keyed || c.Group != decide.GroupAll {
		return false
	}
	until := time.Duration(float64(age)*(1+drift)/(1-drift)) + AgeSlack + remaining
	return until < c.Window
}
