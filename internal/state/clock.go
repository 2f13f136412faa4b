// Package state holds what a sidecar keeps in memory: its clock, the requests
// it has taken, the endpoints it knows with their connections, and counters.
//
// All but the clock belongs to the one goroutine that runs the balancer.
package state

import (
	"time"

	"heathgap/decide"
	"heathgap/internal/env"
)

// Clock tells the module's time: since the Unix epoch, as starts of endpoints
// are told, and monotonic from the process's start on.
type Clock struct {
	env     env.Env
	started time.Time
}

// NewClock returns a clock that begins now.
func NewClock(environment env.Env) Clock { return Clock{env: environment, started: environment.Now()} }

// Now is the present time.
func (c Clock) Now() decide.Time {
	return c.FromWall(c.env.Now())
}

// Wall is the moment of a time, for deadlines of connections.
func (c Clock) Wall(t decide.Time) time.Time {
	return c.started.Add(t - decide.Time(c.started.UnixNano()))
}

// FromWall is a moment's time.
func (c Clock) FromWall(at time.Time) decide.Time {
	return decide.Time(c.started.UnixNano()) + at.Sub(c.started)
}
