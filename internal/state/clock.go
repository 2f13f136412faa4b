// Package state holds what a sidecar keeps in memory: its clock, the requests it has accepted, the endpoints it knows with
// their connections, and counters.
//
// Everything except the clock, and the methods that say otherwise, may be used only by the goroutine that runs the balancer.
package state

import (
	"time"

	"heathgap/decide"
	"heathgap/internal/env"
)

// Clock converts between wall-clock time and the decision module's time. Module time counts from the Unix epoch, because
// discovery reports the start of an endpoint so, and grows monotonically from the start of the process on.
type Clock struct {
	env     env.Env
	started time.Time
}

// NewClock returns a clock that starts now.
func NewClock(environment env.Env) Clock { return Clock{env: environment, started: environment.Now()} }

// Now returns the current module time.
func (c Clock) Now() decide.Time {
	return c.FromWall(c.env.Now())
}

// Wall converts module time to a time.Time, for the deadlines of connections.
func (c Clock) Wall(t decide.Time) time.Time {
	return c.started.Add(t - decide.Time(c.started.UnixNano()))
}

// FromWall converts a time.Time to module time.
func (c Clock) FromWall(at time.Time) decide.Time {
	return decide.Time(c.started.UnixNano()) + at.Sub(c.started)
}
