package pipeline

import "fmt"

// Audit checks that the engine's state is consistent. It is for tests and simulations: it reads the state of the owner, which
// must not be running meanwhile.
func (e *Engine) Audit() error {
	if limit := e.conf.Transport.MaxPending; limit > 0 && e.requests.Pending() > limit {
		return fmt.Errorf("%d requests are pending, and the limit is %d", e.requests.Pending(), limit)
	}
	if err := e.requests.Audit(); err != nil {
		return err
	}
	inFlight := 0
	for _, r := range e.requests.All() {
		for _, a := range r.Attempts {
			if !a.Settled {
				inFlight++
			}
		}
	}
	if n := e.timeouts.Len(); n != inFlight {
		return fmt.Errorf("%d attempts are in flight, and %d have a timeout set", inFlight, n)
	}
	if module, ok := e.balancer.(interface{ Audit() (int, error) }); ok {
		moduleCount, err := module.Audit()
		if err != nil {
			return fmt.Errorf("module: %w", err)
		}
		if moduleCount != inFlight {
			return fmt.Errorf("%d attempts are out, and the module counts %d", inFlight, moduleCount)
		}
	}
	if err := e.pool.Audit(); err != nil {
		return err
	}
	c := e.snapshot()
	ends := c.Served + c.Refused + c.Failed + c.Left
	if ends+c.Pending != e.counters.Accepted+c.HandedOver {
		return fmt.Errorf("%d requests accepted, %d ended, %d pending", e.counters.Accepted, ends, c.Pending)
	}
	if available, total := e.answerMemory.Available(), e.conf.AnswerBytes; available < 0 || available > total {
		return fmt.Errorf("memory budget for answers: %d of %d bytes available", available, total)
	}
	return nil
}
