package decide

// Reason says why a request is refused, failed or sent again. It is for people: nothing is decided by it.
type Reason uint8

// The reasons. The zero value is that of all other actions.
const (
	NoReason       Reason = iota
	NoTimeLeft            // its time is up, or another attempt could earn nothing any more
	HeldTooLong           // it was held back until it could hardly be in time
	NothingMayTake        // no ready endpoint may take it: none is listed, or the effects leave none
	NoAttemptsLeft        // it has had as many attempts as it may
	NoRetryToken          // no token funds its retry in time
	ErrorsAlike           // its answers were errors, and another would likely be one too
	AnswerBegun           // an answer or a long body has begun to go, which can't go twice
	Retried               // the attempt before has failed
	Copied                // the attempt that is out is overdue
	NumReasons            // how many there are
)

var reasonNames = [NumReasons]string{
	"", "no_time_left", "held_too_long", "nothing_may_take", "no_attempts_left", "no_retry_token",
	"errors_alike", "answer_begun", "retried", "copied",
}

// String is the reason's name in the log.
func (r Reason) String() string { return reasonNames[r] }
