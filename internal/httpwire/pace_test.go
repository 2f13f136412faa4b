package httpwire

import (
	"testing"
	"time"
)

// A connection may bring a burst of requests at once, and then as many as the rate allows.
func TestRequestPace(t *testing.T) {
	var pace requestPace
	now := time.Now()
	if got := pace.wait(now, maxRequestBurst); got != 0 {
		t.Errorf("a burst waits %v", got)
	}
	if got, want := pace.wait(now, maxRequestBurst+50), 50*time.Second/maxRequestRate; got != want {
		t.Errorf("50 more wait %v, want %v", got, want)
	}
	now = now.Add(50 * time.Second / maxRequestRate)
	if got := pace.wait(now, maxRequestBurst+50); got != 0 {
		t.Errorf("after that they wait %v", got)
	}
	if got := pace.wait(now.Add(time.Hour), 2*maxRequestBurst+50); got != 0 {
		t.Errorf("a burst after a rest waits %v", got)
	}
}
