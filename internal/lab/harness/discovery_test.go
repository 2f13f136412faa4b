package harness

import (
	"testing"
	"time"

	"heathgap/internal/lab/oracle"
	"heathgap/internal/lab/policy"
	"heathgap/internal/lab/scenario"
)

// Guards against requests to deleted endpoints (report 4547c5). They were sent by sidecars while an overloaded discovery refused
// all of their calls for the list, which has 3,200 endpoints.
func TestEndpointsReturnWhileDiscoveryOverloaded(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct{ rate, churn float64 }{
		"83 requests a second and sidecar": {1000, 0.02},
		"2 requests a second and sidecar":  {24, 0.3}, // many on new connections, which restarted sidecars get too
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runOverloadedDiscovery(t, c.rate, c.churn)
		})
	}
}

// Guards against requests to deleted endpoints by a sidecar that receives its first requests since its start when its list is
// stale already, so that it has no endpoint's answer to go by.
func TestFirstRequestAfterTheListWentStale(t *testing.T) {
	t.Parallel()
	runOverloadedDiscovery(t, 60, 0.02)
}

// runOverloadedDiscovery runs the scenario at a rate in requests a second. churn is the share of requests that end their
// connection.
func runOverloadedDiscovery(t *testing.T, rate, churn float64) {
	const served = 0.9 // most requests must be served all the same
	s, err := scenario.LoadFile("../../../lab/scenarios/crowded_discovery.toml")
	if err != nil {
		t.Fatal(err)
	}
	s.Load.Rate, s.Load.Behavior.Churn, s.MaxLag = rate, churn, 5*time.Second
	r := runScenario(t, s, policy.Module)
	for rule, n := range r.Rules {
		if n > 0 {
			t.Errorf("%s: %d", rule, n)
		}
	}
	if r.Service < served {
		t.Errorf("service %.3f, want %.3f", r.Service, served)
	}
	if drained := r.Rules[oracle.SentToDrained]; drained > 0 {
		t.Logf("the first violations: %v", r.Violations[:min(3, len(r.Violations))])
	}
}
