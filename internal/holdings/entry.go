package holdings

import (
	"errors"
	"fmt"
	"time"

	"heathgap/decide"
)

// BootTime is a time on the clock of a machine that also runs while the machine is suspended (env.Env.BootTime). Times of two machines are
// never compared: messages carry ages instead.
type BootTime = time.Duration

// Limits of an entry.
const (
	MaxName        = 256      // bytes of a class, a tenant, a key or an owner's name
	MaxBody        = 64 << 10 // bytes of an outcome's body; longer ones are not kept, and marked as too long
	FingerprintLen = 16       // bytes of a request's fingerprint
	// MaxLifetime bounds the lifetime of a claim. It equals the longest timeout that a caller may state.
	MaxLifetime = time.Hour
)

// State is the state of a keyed request.
type State uint8

// States of a keyed request.
const (
	Claimed State = iota + 1 // its owner may be sending it
	Unknown                  // its owner gave up: it may have been executed
	Done                     // its outcome is known
	Free                     // nothing of it was sent: the key may be claimed again
)

// String returns the state's name as a command prints it, also in JSON; the texts must not change.
func (s State) String() string {
	return [...]string{"none", "claimed", "unknown", "done", "free"}[min(int(s), 4)]
}

// Rev is the revision of an entry: the number of the configuration under which it changed, and the number of the change within that
// configuration and shard. Revisions are ordered by the configuration first.
type Rev struct {
	Config uint64 `cbor:"1,keyasint"`
	Count  uint64 `cbor:"2,keyasint"`
}

func (r Rev) before(other Rev) bool {
	return r.Config < other.Config || r.Config == other.Config && r.Count < other.Count
}

// Fingerprint identifies the content of a request. A command with the same key and another fingerprint belongs to another request.
type Fingerprint [FingerprintLen]byte

// Outcome is the answer to a request.
type Outcome struct {
	Type     string `cbor:"1,keyasint,omitempty"` // content type
	Encoding string `cbor:"2,keyasint,omitempty"` // content encoding
	Body     []byte `cbor:"3,keyasint,omitempty"`
	TooLong  bool   `cbor:"4,keyasint,omitempty"` // the body was too long to keep
}

// Entry is the record of one key.
type Entry struct {
	Key   Key         `cbor:"1,keyasint"`
	Rev   Rev         `cbor:"2,keyasint"`
	State State       `cbor:"3,keyasint"`
	Owner Incarnation `cbor:"4,keyasint"`
	Claim uint64      `cbor:"5,keyasint"` // number that the owner gave to its request
	// Lifetime is how long the owner may act on its claim, as the owner stated it. It counts from the claim.
	Lifetime    time.Duration `cbor:"10,keyasint"`
	Fingerprint Fingerprint   `cbor:"6,keyasint"`
	Outcome     *Outcome      `cbor:"7,keyasint,omitempty"`
	// Age is how long ago the key was claimed first, and SinceChange how long ago the entry changed last, both when the message was
	// made. The store keeps times instead, and sets both in what it returns.
	Age         time.Duration `cbor:"8,keyasint"`
	SinceChange time.Duration `cbor:"9,keyasint"`
}

// size returns the entry's approximate size in a message, in bytes: 96 stands for all fields but the key and the outcome.
func (e *Entry) size() int {
	n := 96 + len(e.Key.Class) + len(e.Key.Tenant) + len(e.Key.Text)
	if e.Outcome != nil {
		n += len(e.Outcome.Body) + len(e.Outcome.Type) + len(e.Outcome.Encoding)
	}
	return n
}

// Command is what the owner of a request sends to the primary of the key's shard.
type Command struct {
	Op          Op            `cbor:"1,keyasint"`
	Key         Key           `cbor:"2,keyasint"`
	Owner       Incarnation   `cbor:"3,keyasint"`
	Claim       uint64        `cbor:"4,keyasint"`
	Lifetime    time.Duration `cbor:"8,keyasint"` // of OpClaim and OpReclaim: the request ends within this time
	Fingerprint Fingerprint   `cbor:"5,keyasint"`
	Rev         Rev           `cbor:"6,keyasint"`           // of OpReclaim: the revision of the entry that it takes over
	Outcome     *Outcome      `cbor:"7,keyasint,omitempty"` // of OpFinish
}

// Check returns an error for a command that exceeds a limit. The error begins with the offending field. A peer sends the error's
// text in a refusal, so the text must not change; in it, Op is called do, and Lifetime is called lasts.
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

// Op is the operation of a Command.
type Op uint8

// Operations. Each may be repeated when its answer is lost.
const (
	OpClaim   Op = iota + 1 // claim the key, or learn what is known of it
	OpReclaim               // claim a key whose outcome is unknown, while its endpoints still drop repeats
	OpFinish                // record the request's outcome
	OpGiveUp                // record that the request may have been executed and that its outcome will not be known
	OpDrop                  // record that nothing of the request was sent
)

// Kind is the kind of a primary's answer.
type Kind uint8

// Kinds of answers. An answer that is based on an entry (AnswerOK to AnswerMismatch, and AnswerFenced) is given only when all replicas
// have acknowledged that entry.
const (
	AnswerOK             Kind = iota + 1 // the command was executed, and the change replicated
	AnswerFinished                       // the request has an outcome already: Outcome
	AnswerUnknown                        // the request may have been sent, and its outcome is unknown: Rev and Age
	AnswerRunning                        // another claim of the key is valid, and its owner is in the cluster
	AnswerMismatch                       // the key belongs to another request: the fingerprints differ
	AnswerLost                           // the shard lost its entries, and it is unknown whether this key had one
	AnswerTooFewReplicas                 // the shard has fewer replicas than Params.Copies
	AnswerFull                           // there is no memory for another entry, or too many commands wait for the key
	AnswerFenced                         // the claim is not the owner's any more, or never was
	AnswerNotPrimary                     // this sidecar is not the primary, has no lease, or does not know the owner: repeat with a newer placement
	AnswerNone                           // no answer came
)

// String returns the kind's name as it is logged as the reason of a refusal. The texts must not change, though they differ from the
// constants' names.
func (k Kind) String() string {
	return [...]string{"none", "yes", "was", "unclear", "running", "other", "missing", "short", "full", "fenced", "not here", "away"}[min(int(k), 11)]
}

// Answer is a primary's answer to a command.
type Answer struct {
	Kind    Kind     `cbor:"1,keyasint"`
	Outcome *Outcome `cbor:"2,keyasint,omitempty"` // of AnswerFinished
	Rev     Rev      `cbor:"3,keyasint"`           // of the entry; zero if not given
	// Age is how long ago the key was claimed first. AnswerUnknown gives it, and AnswerRunning unless it answers a reclaim of the entry's
	// present revision; else it is 0.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
}

// AgeSlack bounds the error of an age. Each message that carries an age makes it wrong by at most the message's time on its way, and a
// message whose acknowledgement takes longer than allowed is sent again.
const AgeSlack = time.Second

// MayRepeat reports whether a request of a keyed class may be sent again although its outcome is unknown. age is how long ago its key was
// claimed first, remaining how long the repeat may run, and drift the bound on the error of each clock's rate. A repeat is allowed if all
// endpoints that it may reach drop repeats of the first request until the repeat ends. Classes whose endpoints do not all share their memory
// of requests (decide.GroupAll) are never repeated, because the entry does not record which endpoint had the first request.
func MayRepeat(c *decide.Class, age, remaining time.Duration, drift float64) bool {
	if c.Effect != decide.Keyed || c.Group != decide.GroupAll {
		return false
	}
	until := time.Duration(float64(age)*(1+drift)/(1-drift)) + AgeSlack + remaining
	return until < c.Window
}
