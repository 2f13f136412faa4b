package cluster

import (
	"errors"
	"testing"
	"time"

	"heathgap/decide"
	"heathgap/internal/versions"
)

// The leader is found by what others say of it, kept while it answers, and looked for at each keeper when it does not.
func TestSeekerFindsTheLeader(t *testing.T) {
	own := versions.Own(&decide.Settings{})
	terms := Terms{Lease: time.Second}
	s := NewSeeker(NewHolder(Member{Name: "m", Token: 1}, terms, own, 0), []string{"a", "b", "c"})
	ask := func(want string) {
		t.Helper()
		if got, _ := s.Question(0); got != want {
			t.Fatalf("asks %s, want %s", got, want)
		}
	}
	s.Heartbeat()
	ask("a")
	if n := s.Answer(1, nil, "c"); !n.Ask || n.Over {
		t.Fatalf("%+v", n)
	}
	ask("c")
	if n := s.Answer(2, &Grant{Granted: true}, ""); n.Ask || !n.Over || n.Err != nil {
		t.Fatalf("%+v", n)
	}
	s.Heartbeat()
	for i, keeper := range []string{"c", "a", "b", "c", "a"} { // each in turn; a and b know nobody, or themselves no more
		ask(keeper)
		if n := s.Answer(3, nil, ""); n.Ask != (i < 4) || errors.Is(n.Err, ErrNoLeader) != (i == 4) {
			t.Fatalf("%d: %+v", i, n)
		}
	}
	s.Heartbeat()
	ask("b")
	if n := s.Answer(terms.Lease, nil, ""); n.Ask || !errors.Is(n.Err, ErrNoLeader) {
		t.Errorf("past a lease's time: %+v", n)
	}
}

// A leader that asks for more without end is heeded a few times a heartbeat.
func TestSeekerEndsItsRounds(t *testing.T) {
	s := NewSeeker(NewHolder(Member{Name: "m", Token: 1}, Terms{Lease: time.Second}, versions.Own(&decide.Settings{}), 0), []string{"a"})
	s.Heartbeat()
	rounds := 0
	for again := true; again && rounds < 100; rounds++ {
		s.Question(0)
		again = s.Answer(0, &Grant{Again: true}, "").Ask
	}
	if rounds != mostAgain {
		t.Errorf("%d rounds", rounds)
	}
}
