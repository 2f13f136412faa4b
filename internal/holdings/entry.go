package holdings

import (
	"errors"
	"fmt"
	"time"

	"heathgap/decide"
)

// Boot is a moment on a machine's clock that goes on while it is suspended. Moments of two machines are never compared: what is
// said of times are ages.
type Boot = time.Duration

// Bounds of an entry.
const (
	MostName = 256      // bytes of a class, a tenant or a key
	MostBody = 64 << 10 // bytes of an answer that is kept, at most; longer ones are marked as too long
	PrintLen = 16       // bytes of a request's fingerprint
	// MostLasts is how long a claim may stand by its owner's word: as long as a caller may say that it waits.
	MostLasts = time.Hour
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

// Print identifies what a request asks for: the same key with another print is another request's.
type Print [PrintLen]byte

// Outcome is the answer that a request had.
type Outcome struct {
	Type     string `cbor:"1,keyasint,omitempty"` // of its content
	Encoding string `cbor:"2,keyasint,omitempty"`
	Body     []byte `cbor:"3,keyasint,omitempty"`
	Long     bool   `cbor:"4,keyasint,omitempty"` // the body was too long to keep
}

// Entry is what is held of one key.
type Entry struct {
	Key   Key    `cbor:"1,keyasint"`
	Rev   Rev    `cbor:"2,keyasint"`
	State State  `cbor:"3,keyasint"`
	Owner Who    `cbor:"4,keyasint"`
	Claim uint64 `cbor:"5,keyasint"` // of the owner's request
	// Lasts is how long after its claim the owner may act on it, by its own word.
	Lasts   time.Duration `cbor:"10,keyasint"`
	Print   Print         `cbor:"6,keyasint"`
	Outcome *Outcome      `cbor:"7,keyasint,omitempty"`
	// Age is how long ago the key was claimed first, and Still when it last changed, at the moment of saying so.
	Age   time.Duration `cbor:"8,keyasint"`
	Still time.Duration `cbor:"9,keyasint"`
}

// size is about how many bytes it takes on the way.
func (e *Entry) size() int {
	n := 96 + len(e.Key.Class) + len(e.Key.Tenant) + len(e.Key.Text)
	if e.Outcome != nil {
		n += len(e.Outcome.Body) + len(e.Outcome.Type) + len(e.Outcome.Encoding)
	}
	return n
}

// Ask is an owner's word to a shard's primary.
type Ask struct {
	Do      Do            `cbor:"1,keyasint"`
	Key     Key           `cbor:"2,keyasint"`
	Owner   Who           `cbor:"3,keyasint"`
	Claim   uint64        `cbor:"4,keyasint"`
	Lasts   time.Duration `cbor:"8,keyasint"` // of Open and Again: the request ends by then
	Print   Print         `cbor:"5,keyasint"`
	Rev     Rev           `cbor:"6,keyasint"` // of the unknown entry that Again takes over
	Outcome *Outcome      `cbor:"7,keyasint,omitempty"`
}

// Check turns down an ask that breaks a bound. Its error begins with what is wrong.
func (a *Ask) Check() error {
	switch {
	case a.Do < Open || a.Do > Drop:
		return fmt.Errorf("do: %d; allowed: %d to %d", a.Do, Open, Drop)
	case a.Key.Text == "" || max(len(a.Key.Text), len(a.Key.Class), len(a.Key.Tenant), len(a.Owner.Name)) > MostName:
		return fmt.Errorf("key, class, tenant, owner: allowed: a key, and up to %d bytes each", MostName)
	case a.Outcome != nil && len(a.Outcome.Body) > MostBody:
		return fmt.Errorf("outcome: %d bytes; allowed: up to %d", len(a.Outcome.Body), MostBody)
	case a.Do == Finish && a.Outcome == nil:
		return errors.New("outcome: missing")
	case a.Lasts < 0 || a.Lasts > MostLasts:
		return fmt.Errorf("lasts: %v; allowed: 0s to %v", a.Lasts, MostLasts)
	}
	return nil
}

// Do is what an owner wants.
type Do uint8

// What owners want. Each may be said again when its answer is lost.
const (
	Open   Do = iota + 1 // claim the key, or be told what is known of it
	Again                // claim a key whose outcome is unknown: its endpoints drop repeats still
	Finish               // it has this outcome
	GiveUp               // it may have run, and its outcome will not be known
	Drop                 // nothing of it was sent
)

// Kind is what a primary answers.
type Kind uint8

// The answers. Only the first three rest on the word of all replicas.
const (
	Yes     Kind = iota + 1 // done as asked, and copied
	Was                     // it has an outcome already: Outcome
	Unclear                 // it was out, and nobody knows what came of it: Rev and Age
	Running                 // another owner has it, who is in the crew
	Other                   // the key came with another request before
	Missing                 // what this shard held was lost, and nobody knows of this key
	Short                   // there are not as many replicas as copies are wanted
	Full                    // no room for another entry
	Fenced                  // the claim is another's now
	NotHere                 // the shard's primary is another one, or not known: ask again with a newer placement
	Away                    // no answer came
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

// Slack is what ages may be wrong by: a word is said again when its yes takes longer, and each saying moves an age by the time
// on its way at most.
const Slack = time.Second

// MayRepeat tells whether a request of a keyed class whose outcome is unknown may go out again, for so long: whether all
// endpoints that it may come to drop it until then. Classes whose endpoints do not all share their memory are never
// repeated: which of them had it is not held.
func MayRepeat(c *decide.Class, age, remaining time.Duration, drift float64) bool {
	if c.Effect != decide.Keyed || c.Group != decide.GroupAll {
		return false
	}
	until := time.Duration(float64(age)*(1+drift)/(1-drift)) + Slack + remaining
	return until < c.Window
}
