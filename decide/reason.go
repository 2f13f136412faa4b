package decide

// Reason says why a request is refused, failed or sent again. It is for people: no decision depends on it.
type Reason uint8

// The reasons. All other actions have NoReason.
const (
	NoReason          Reason = iota
	NoTimeLeft               // its time is up, or another attempt could not earn anything any more
	QueuedTooLong            // it was queued until it could hardly be in time
	NoEndpointAllowed        // no ready endpoint may take it: none is listed, or the effects exclude all
	NoAttemptsLeft           // it has used all attempts that it may have
	NoRetryToken             // no token can fund its retry in time
	ErrorsAlike              // its attempts ended in errors, and another probably would too
	AnswerBegun              // part of an answer or of a long body has been sent, which can't be sent twice
	Retried                  // the attempt before it failed
	Hedged                   // the attempt in flight is overdue: this one is hedged
	NumReasons               // number of reasons
)

var reasonNames = [NumReasons]string{
	"", "no_time_left", "held_too_long", "nothing_may_take", "no_attempts_left", "no_retry_token",
	"errors_alike", "answer_begun", "retried", "copied",
}

// String returns the reason's name in the log.
func (r Reason) String() string { return reasonNames[r] }
