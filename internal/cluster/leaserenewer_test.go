package cluster

import (
	"errors"
	"testing"
	"time"

	"heathgap/decide"
	"heathgap/internal/versions"
)

// The leader is found by what others say of it, kept while it answers, and looked for at each keeper when it does not.
func TestLeaseRenewerFindsLeader(t *testing.T) {
	own := versions.FromSettings(&decide.Settings{})
	terms := Params{Lease: time.Second}
	s := NewLeaseRenewer(NewLeaseHolder(Member{Name: "m", Token: 1}, terms, own, 0), []string{"a", "b", "c"})
	ask := func(want string) {
		t.Helper()
		if got, _ := s.NextRequest(0); got != want {
			t.Fatalf("asks %s, want %s", got, want)
		}
	}
	s.StartHeartbeat()
	ask("a")
	if n := s.HandleResponse(1, nil, "c"); !n.RenewNow || n.Done {
		t.Fatalf("%+v", n)
	}
	ask("c")
	if n := s.HandleResponse(2, &Grant{Granted: true}, ""); n.RenewNow || !n.Done || n.Err != nil {
		t.Fatalf("%+v", n)
	}
	s.StartHeartbeat()
	for i, keeper := range []string{"c", "a", "b", "c", "a"} { // each in turn; a and b know nobody, or themselves no more
		ask(keeper)
		if n := s.HandleResponse(3, nil, ""); n.RenewNow != (i < 4) || errors.Is(n.Err, ErrNoLeader) != (i == 4) {
			t.Fatalf("%d: %+v", i, n)
		}
	}
	s.StartHeartbeat()
	ask("b")
	if n := s.HandleResponse(terms.Lease, nil, ""); n.RenewNow || !errors.Is(n.Err, ErrNoLeader) {
		t.Errorf("past a lease's time: %+v", n)
	}
}

// A leader that asks for more without end is heeded a few times a heartbeat.
func TestLeaseRenewerLimitsAnswers(t *testing.T) {
	s := NewLeaseRenewer(NewLeaseHolder(Member{Name: "m", Token: 1}, Params{Lease: time.Second}, versions.FromSettings(&decide.Settings{}), 0), []string{"a"})
	s.StartHeartbeat()
	rounds := 0
	for again := true; again && rounds < 100; rounds++ {
		s.NextRequest(0)
		again = s.HandleResponse(0, &Grant{RetryNow: true}, "").RenewNow
	}
	if rounds != maxAnswersPerHeartbeat {
		t.Errorf("%d rounds", rounds)
	}
}
