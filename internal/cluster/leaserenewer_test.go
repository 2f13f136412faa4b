package cluster

import (
	"errors"
	"testing"
	"time"

	"heathgap/decide"
	"heathgap/internal/versions"
)

// The leader is found by what other voters report, called as long as it answers, and searched for at each voter when it does not.
func TestLeaseRenewerFindsLeader(t *testing.T) {
	own := versions.FromSettings(&decide.Settings{})
	params := Params{Lease: time.Second}
	s := NewLeaseRenewer(NewLeaseHolder(Member{Name: "m", Token: 1}, params, own, 0), []string{"a", "b", "c"})
	expectCall := func(want string) {
		t.Helper()
		if got, _ := s.NextRequest(0); got != want {
			t.Fatalf("calls %s, want %s", got, want)
		}
	}
	s.StartHeartbeat()
	expectCall("a")
	if n := s.HandleResponse(1, nil, "c"); !n.RenewNow || n.Done {
		t.Fatalf("%+v", n)
	}
	expectCall("c")
	if n := s.HandleResponse(2, &Grant{Granted: true}, ""); n.RenewNow || !n.Done || n.Err != nil {
		t.Fatalf("%+v", n)
	}
	s.StartHeartbeat()
	for i, voter := range []string{"c", "a", "b", "c", "a"} { // each in turn; none of them knows a leader
		expectCall(voter)
		if n := s.HandleResponse(3, nil, ""); n.RenewNow != (i < 4) || errors.Is(n.Err, ErrNoLeader) != (i == 4) {
			t.Fatalf("%d: %+v", i, n)
		}
	}
	s.StartHeartbeat()
	expectCall("b")
	if n := s.HandleResponse(params.Lease, nil, ""); n.RenewNow || !errors.Is(n.Err, ErrNoLeader) {
		t.Errorf("past a lease's time: %+v", n)
	}
}

// A leader that keeps asking for a retry is called only a few times in one heartbeat.
func TestLeaseRenewerLimitsAnswers(t *testing.T) {
	s := NewLeaseRenewer(NewLeaseHolder(Member{Name: "m", Token: 1}, Params{Lease: time.Second}, versions.FromSettings(&decide.Settings{}), 0), []string{"a"})
	s.StartHeartbeat()
	answers := 0
	for renewNow := true; renewNow && answers < 100; answers++ {
		s.NextRequest(0)
		renewNow = s.HandleResponse(0, &Grant{RetryNow: true}, "").RenewNow
	}
	if answers != maxAnswersPerHeartbeat {
		t.Errorf("%d answers in one heartbeat", answers)
	}
}
