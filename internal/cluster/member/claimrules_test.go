package member

import (
	"context"
	"testing"
	"time"

	"heathgap/decide"
	"heathgap/internal/env"
	"heathgap/internal/holdings"
	"heathgap/internal/httpwire"
	"heathgap/internal/operator"
	"heathgap/internal/peerrpc"
	"heathgap/internal/pipeline"
)

// Guards against an order that runs twice because its repeat is judged by the sidecar's file alone (review/2): a version that is stricter
// binds it too, whichever key it names.
func TestVersionBindsTheRepeatOfAnUnclearOrder(t *testing.T) {
	const age = 500 * time.Millisecond // since the order was claimed first
	own := decide.Class{Name: "order", Effect: decide.Keyed, Group: decide.GroupAll, Window: 20 * time.Second}
	for name, c := range map[string]struct {
		rule     decide.DynamicClass
		reclaims bool
	}{
		"as the file":      {decide.DynamicClass{Effect: own.Effect, Group: own.Group, Window: own.Window}, true},
		"a shorter window": {decide.DynamicClass{Effect: decide.Keyed, Group: decide.GroupAll, Window: age}, false},
		"a smaller group":  {decide.DynamicClass{Effect: decide.Keyed, Group: decide.GroupZone, Window: own.Window}, false},
		"once":             {decide.DynamicClass{Effect: decide.Unsafe}, false},
	} {
		t.Run(name, func(t *testing.T) {
			reclaimed := make(chan struct{}, 1)
			address := startPeer(t, map[string]peerrpc.Handler{"hold-ask": func(_ string, body []byte) (any, error) {
				var command holdings.Command
				if err := peerrpc.Decode(body, &command); err != nil {
					return nil, err
				}
				if command.Op == holdings.OpReclaim {
					signalOnce(reclaimed)
					return holdings.Answer{Kind: holdings.AnswerOK}, nil
				}
				return holdings.Answer{Kind: holdings.AnswerUnknown, Rev: holdings.Rev{Config: 1, Count: 1}, Age: age}, nil
			}})
			hs := fixedMember{address, operator.RefuseAlone, []holdings.Incarnation{peerIncarnation}}.service(t, env.Real{})
			state := *hs.member.effective.Load()
			state.EffectiveRules = pipeline.EffectiveRules{Generation: 2, Dynamic: &decide.DynamicSettings{Classes: map[string]decide.DynamicClass{"order": c.rule}}}
			hs.member.effective.Store(&state)
			result := hs.Claim(context.Background(), &httpwire.Request{Class: "order", Key: "k"}, [16]byte{}, orderDeadline)
			if claimed := result.Claim != nil; claimed != c.reclaims || len(reclaimed) > 0 != c.reclaims {
				t.Errorf("claimed %v (answer %+v), reclaimed %v; want %v", claimed, result.Answer, len(reclaimed) > 0, c.reclaims)
			}
		})
	}
}
