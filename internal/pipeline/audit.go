package pipeline

import "fmt"

// Audit checks that what the engine keeps adds up. It is for tests and simulations:
// it reads the owner's state, which must stand still meanwhile.
func (e *Engine) Audit() error {
	if most := e.conf.Transport.MaxPending; most > 0 && e.requests.Pending() > most {
		return fmt.Errorf("%d requests are held, and %d may be", e.requests.Pending(), most)
	}
	if err := e.requests.Audit(); err != nil {
		return err
	}
	out := 0
	for _, r := range e.requests.All() {
		for _, a := range r.Attempts {
			if !a.Settled {
				out++
			}
		}
	}
	if n := e.timeouts.Len(); n != out {
		return fmt.Errorf("%d attempts are out, and %d wait for their time-outs", out, n)
	}
	if m, ok := e.balancer.(interface{ Audit() (int, error) }); ok {
		theirs, err := m.Audit()
		if err != nil {
			return fmt.Errorf("module: %w", err)
		}
		if theirs != out {
			return fmt.Errorf("%d attempts are out, and the module counts %d", out, theirs)
		}
	}
	if err := e.pool.Audit(); err != nil {
		return err
	}
	c := e.snapshot()
	ends := c.Served + c.Refused + c.Failed + c.Left
	if ends+c.Pending != e.counters.Taken+c.HandedOver {
		return fmt.Errorf("%d requests taken, %d ended, %d held", e.counters.Taken, ends, c.Pending)
	}
	if left, all := e.room.Available(), e.conf.AnswerBytes; left < 0 || left > all {
		return fmt.Errorf("room for answers: %d of %d left", left, all)
	}
	return nil
}
