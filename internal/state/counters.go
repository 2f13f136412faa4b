package state

import (
	"github.com/rs/zerolog"

	"heathgap/decide"
)

// Counters count what the sidecar takes in, sends and answers.
type Counters struct {
	Malformed    int // answered 400; no request was taken
	Taken        int
	OverLimit    int // turned away before the module: too many were open
	Sent         int // attempts begun
	Probed       int // probes begun
	Dialed       int // connections to endpoints begun
	Outcomes     [decide.NotSent + 1]int
	Served       int
	Refused      int
	Failed       int
	Left         int                    // callers that went before their answer
	HandedOver   int                    // long answers that another process took and this one ended; among the three ends above
	Lists        int                    // answers of discovery
	ListFailures int                    // failed calls to discovery
	Reasons      [decide.NumReasons]int // why the module refused, failed or sent again
}

// outcomeNames are the log's names of outcomes.
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

// OutcomeName is an outcome's name in the log.
func OutcomeName(o decide.Outcome) string { return outcomeNames[o] }

// MarshalZerologObject writes the counters into a log line.
func (c *Counters) MarshalZerologObject(e *zerolog.Event) {
	e.Int("taken", c.Taken).Int("malformed", c.Malformed).Int("turned_away", c.OverLimit).
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
