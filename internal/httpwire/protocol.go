// Package httpwire holds what a sidecar speaks: the messages of callers, of
// endpoints and of discovery, and the connections that carry them.
//
// Each message is decoded once into a small typed value and encoded once. The
// package decides nothing and keeps nothing.
package httpwire

// Headers and paths of the protocol.
const (
	headerID        = "X-Txn"
	headerTenant    = "X-Org"
	headerRemaining = "X-Remaining"
	headerKey       = "Idempotency-Key"
	headerResent    = "X-Resent"
	headerLabels    = "X-Labels"
	headerRejected  = "X-Turned-Away"

	// ReadyPath answers 200 once the sidecar takes requests.
	ReadyPath = "/up"

	pathLoad  = "/metrics/load" // answers a probe, with a load report as its body where there are any
	pathHosts = "/discovery/hosts"

	serviceHost = "service.internal"
)

// MaxBuffered is the most of a body that is read whole before it goes on, in bytes, in
// either direction: what can be tried again. Shorter ones are all that a tier without
// long bodies has.
const MaxBuffered = 64 << 10

// MaxBody and MaxAnswer are the most that the body of a request and of an answer may
// hold, in bytes: what the operators name, and none of it is kept.
const (
	MaxBody   = 32 << 20
	MaxAnswer = 32 << 20
)

// MaxHead is the most that the head of a message may take, in bytes. Each
// connection has a buffer of that size: a thousand connections hold 8 MB with them.
const MaxHead = 8 << 10
