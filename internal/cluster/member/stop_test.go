package member

import (
	"net/http"
	"testing"
	"time"

	"heathgap/internal/holdings"
	"heathgap/internal/lab/scripted"
	"heathgap/internal/lifecycle"
	"heathgap/internal/operator"
	"heathgap/internal/peerrpc"
)

// killDelay is when the platform kills a process at the earliest, counted from the signal to stop.
const killDelay = 3700 * time.Millisecond

// expectAnswersOfStop stops a sidecar and checks that each client has its answer by the earliest time of the kill.
func expectAnswersOfStop(t *testing.T, sidecar *lifecycle.Sidecar, clients []*scripted.Peer, status int) {
	t.Helper()
	begin := time.Now()
	stopped := make(chan struct{}, 1)
	go func() {
		sidecar.Stop()
		signalOnce(stopped)
	}()
	for i, client := range clients {
		client.SetDeadline(begin.Add(killDelay)) //nolint:errcheck // the read fails then
		if got, _ := client.ReadAnswer(); got != status {
			t.Errorf("client %d: status %d, want %d", i, got, status)
		}
		client.Close()
	}
	awaitSignals(t, "the stop ends", stopped, 1)
}

// Guards against requests that a stop leaves unanswered because their keys are still being claimed, as when their primary was lost
// (review/3).
func TestStopAnswersRequestsThatAreBeingClaimed(t *testing.T) {
	remote, own := []holdings.Incarnation{peerIncarnation}, []holdings.Incarnation{ownIncarnation, peerIncarnation}
	for name, c := range map[string]struct {
		kind       string // of the message that the claims wait for
		notPrimary bool   // so the other sidecar answers it; otherwise it never does
		replicas   []holdings.Incarnation
		alone      operator.WhenAlone
		requests   int
	}{
		"the primary hangs": {kind: "hold-ask", replicas: remote, requests: 4},
		"the primary hangs, more wait for a connection to it": {kind: "hold-ask", replicas: remote, requests: 2 * maxClientsPerPeer},
		"the primary hangs, the class goes on alone":          {kind: "hold-ask", replicas: remote, alone: operator.ProceedAlone, requests: 4},
		"nobody is the primary yet":                           {kind: "hold-ask", notPrimary: true, replicas: remote, requests: 4},
		"the backup hangs":                                    {kind: "hold-store", replicas: own, requests: 4},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			reached, released := make(chan struct{}, 1), make(chan struct{})
			address := startPeer(t, map[string]peerrpc.Handler{c.kind: func(string, []byte) (any, error) {
				signalOnce(reached)
				if !c.notPrimary {
					<-released
				}
				return holdings.Answer{Kind: holdings.AnswerNotPrimary}, nil
			}})
			t.Cleanup(func() { close(released) })
			endpoint := scripted.StartEndpoint(t, "e1", nil)
			sidecar := fixedMember{address, c.alone, c.replicas}.startSidecar(t, endpoint)
			clients := placeOrders(t, sidecar, c.requests)
			awaitSignals(t, "a claim waits", reached, 1)
			expectAnswersOfStop(t, sidecar, clients, http.StatusServiceUnavailable)
			if n := endpoint.Count(); n != 0 {
				t.Errorf("the endpoint got %d requests whose keys were not claimed", n)
			}
		})
	}
}

// Guards against requests that a stop leaves unanswered although they have an answer, because their outcome is still being recorded, as when
// their primary was lost (the same cause as review/3).
func TestStopAnswersRequestsWhoseOutcomeIsBeingRecorded(t *testing.T) {
	const requests = 4
	for name, c := range map[string]struct {
		hangs  bool // the endpoint; the requests fail as the sidecar stops
		alone  operator.WhenAlone
		status int
	}{
		"an answer":                          {status: http.StatusBadGateway},
		"an answer, the class goes on alone": {alone: operator.ProceedAlone, status: http.StatusOK},
		"a failure":                          {hangs: true, status: http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			recording, arrived, released := make(chan struct{}, requests), make(chan struct{}, requests), make(chan struct{})
			address := startPeer(t, map[string]peerrpc.Handler{"hold-ask": func(_ string, body []byte) (any, error) {
				var command holdings.Command
				if err := peerrpc.Decode(body, &command); err != nil || command.Op == holdings.OpClaim {
					return holdings.Answer{Kind: holdings.AnswerOK}, err
				}
				signalOnce(recording)
				<-released
				return nil, errBusy
			}})
			t.Cleanup(func() { close(released) })
			endpoint := scripted.StartEndpoint(t, "e1", func(_ http.ResponseWriter, r *http.Request) {
				signalOnce(arrived)
				if c.hangs {
					<-r.Context().Done()
				}
			})
			sidecar := fixedMember{address, c.alone, []holdings.Incarnation{peerIncarnation}}.startSidecar(t, endpoint)
			clients := placeOrders(t, sidecar, requests)
			awaitSignals(t, "all requests are at the endpoint", arrived, requests)
			if !c.hangs {
				awaitSignals(t, "all outcomes are being recorded", recording, requests)
			}
			expectAnswersOfStop(t, sidecar, clients, c.status)
			if n := endpoint.Count(); n != requests {
				t.Errorf("the endpoint got %d requests, want %d", n, requests)
			}
		})
	}
}
