// Package httpwire reads and writes the HTTP/1.1 messages that a sidecar exchanges with callers, endpoints and
// discovery, and manages the connections that carry them.
//
// Each message is decoded once into a small typed value and encoded once. The package takes no balancing decisions and
// keeps no state beyond its connections.
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

	// ReadyPath is the path that answers 200 once the sidecar accepts requests.
	ReadyPath = "/up"

	pathLoad  = "/metrics/load" // answers a probe; the body is a load report where endpoints report their load
	pathHosts = "/discovery/hosts"

	serviceHost = "service.internal"
)

// MaxBuffered is the largest body, in bytes, that is read completely before it is forwarded, in either direction. Only
// such a message can be retried. A tier without long bodies has no longer ones.
const MaxBuffered = 64 << 10

// MaxBody and MaxAnswer are the largest body of a request and of an answer, in bytes. The operators specified these
// sizes. Bodies above MaxBuffered are streamed, not kept in memory.
const (
	MaxBody   = 32 << 20
	MaxAnswer = 32 << 20
)

// MaxHead is the largest head of a message, in bytes. Each connection has a read buffer of that size: a thousand
// connections take 8 MB.
const MaxHead = 8 << 10
