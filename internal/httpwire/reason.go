package httpwire

// Reason is the code that says why a connection ended. It is written in the log line of that connection; docs/oncall.md
// explains each code.
type Reason string

// Reasons for connections of either kind: to callers, or to endpoints and discovery.
const (
	ReasonPeerClosed Reason = "peer_closed" // the other side closed it between two messages
	ReasonPeerReset  Reason = "peer_reset"  // the other side reset it, or it failed
	ReasonIdle       Reason = "idle"        // it was idle for too long
	ReasonShutdown   Reason = "shutdown"    // this sidecar is stopping
	ReasonConnLimit  Reason = "room"        // closed to stay within the limit of connections
)

// Reasons for connections of callers.
const (
	ReasonMemory         Reason = "memory"       // its body came slowly while there was no memory for others
	ReasonCallerLeft     Reason = "caller_left"  // its caller disconnected while its request was pending
	ReasonBadRequest     Reason = "bad_request"  // what it sent was not a valid request
	ReasonCloseRequested Reason = "asked_close"  // the caller or the answer said Connection: close
	ReasonWriteFailed    Reason = "write_failed" // an answer could not be written
)

// Reasons for connections to endpoints and to discovery.
const (
	ReasonDialFailed    Reason = "dial_failed" // it was never established
	ReasonNotWritten    Reason = "not_written" // it broke before the last byte of a request was written
	ReasonBodyLate      Reason = "body_late"   // it had not taken a request's long body within the request's time
	ReasonBroken        Reason = "broken"      // it broke, or what came was not a valid answer
	ReasonGivenUp       Reason = "given_up"    // its attempt was given up before its answer was complete
	ReasonCloseInAnswer Reason = "peer_close"  // the answer said Connection: close
	ReasonSilent        Reason = "silent"      // discovery did not answer in time
	ReasonMoved         Reason = "moved"       // a reload names another discovery
	ReasonHandedOver    Reason = "handed_over" // another process of this sidecar continues its long answer
	ReasonBanned        Reason = "banned"      // an operator banned its endpoint
	ReasonUnlisted      Reason = "unlisted"    // its endpoint has left the list or restarted
)
