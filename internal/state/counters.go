package state

import (
	"github.com/rs/zerolog"

	"heathgap/decide"
)

// Counters counts what the sidecar accepts, sends and answers.
type Counters struct {
	Malformed    int // requests answered 400; not counted in Accepted
	UsedIDs      int // requests that came with an id that was used before
	Accepted     int // requests accepted
	OverLimit    int // requests rejected without asking the module, because too many were pending
	OutOfMemory  int // requests refused for want of memory for their bodies; not counted in Accepted
	Sent         int // attempts started
	Probed       int // probes started
	Dialed       int // connections to endpoints whose dial was started
	Outcomes     [decide.NotSent + 1]int
	Served       int
	Refused      int
	Failed       int
	Left         int                    // callers that disconnected before their answer
	HandedOver   int                    // streamed answers that another process handed over and this one ended; each also counts in Served, Failed or Left
	Lists        int                    // answers of discovery
	ListFailures int                    // failed calls to discovery
	Reasons      [decide.NumReasons]int // why the module refused or failed a request, or sent it again
}

// outcomeNames are the names of outcomes in the log.
var outcomeNames = [...]string{
	decide.Served:        "served",
	decide.ServerError:   "server_error",
	decide.Rejected:      "rejected",
	decide.TimedOut:      "timed_out",
	decide.ConnectFailed: "connect_failed",
	decide.Reset:         "reset",
	decide.Canceled:      "canceled",
	decide.NotSent:       "not_sent",
}

// OutcomeName returns the name of an outcome in the log.
func OutcomeName(o decide.Outcome) string { return outcomeNames[o] }

// MarshalZerologObject writes the counters into a log line.
func (c *Counters) MarshalZerologObject(e *zerolog.Event) {
	e.Int("taken", c.Accepted).Int("malformed", c.Malformed).Int("turned_away", c.OverLimit).Int("no_memory", c.OutOfMemory).Int("used_ids", c.UsedIDs).
		Int("served", c.Served).Int("refused", c.Refused).Int("failed", c.Failed).Int("left", c.Left).Int("gone_on", c.HandedOver).
		Int("sent", c.Sent).Int("probed", c.Probed).Int("dialed", c.Dialed).
		Int("lists", c.Lists).Int("list_failures", c.ListFailures)
	outcomes := zerolog.Dict()
	for i, n := range c.Outcomes {
		outcomes.Int(outcomeNames[i], n)
	}
	e.Dict("attempts", outcomes)
	reasons := zerolog.Dict()
	for reason, n := range c.Reasons {
		if name := decide.Reason(reason).String(); name != "" {
			reasons.Int(name, n)
		}
	}
	e.Dict("reasons", reasons)
}
