package httpwire

// Reason says why a connection ended. The codes stand in the log, one line a
// connection; docs/oncall.md says what each means.
type Reason string

// Reasons on either side.
const (
	ReasonPeerClosed Reason = "peer_closed" // the other side ended it between messages
	ReasonPeerReset  Reason = "peer_reset"  // it broke
	ReasonIdle       Reason = "idle"        // it stood idle for too long
	ReasonShutdown   Reason = "shutdown"    // this sidecar is stopping
	ReasonConnLimit  Reason = "room"        // it made room: too many were open
)

// Reasons on the callers' side.
const (
	ReasonCallerLeft  Reason = "caller_left"  // its caller went while a request was held
	ReasonBadRequest  Reason = "bad_request"  // what came was no request
	ReasonAskedClose  Reason = "asked_close"  // caller or answer said Connection: close
	ReasonWriteFailed Reason = "write_failed" // an answer could not be written
)

// Reasons on the endpoints' side, and discovery's.
const (
	ReasonDialFailed Reason = "dial_failed" // it never came up
	ReasonNotWritten Reason = "not_written" // it broke before a request's last byte
	ReasonBroken     Reason = "broken"      // it broke, or what came was no answer
	ReasonGivenUp    Reason = "given_up"    // its attempt was given up
	ReasonPeerClose  Reason = "peer_close"  // the answer said Connection: close
	ReasonSilent     Reason = "silent"      // discovery's answer was overdue
	ReasonMoved      Reason = "moved"       // a reload names another discovery
	ReasonHandedOver Reason = "handed_over" // another process goes on with its long answer
	ReasonBanned     Reason = "banned"      // its endpoint was banned by hand
	ReasonUnlisted   Reason = "unlisted"    // its endpoint has left the list or restarted
)
