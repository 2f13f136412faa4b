package harness

import (
	"time"

	"github.com/anishathalye/porcupine"
)

// The history of each key, as its clients and the endpoints saw it, must be linearizable: there must be one order of events in
// which the effect happens once, after the request for it was sent, and in which every answer that a client received is the
// answer of that effect.

// keyOp is one event of a key: a client's try, or an effect at the endpoints.
type keyOp struct {
	Key    string
	Effect bool   // an effect, not a try
	Reply  string // of the effect, or as the client received it; empty if a try brought no answer
}

// keyState is the model's state of a key.
type keyState struct {
	reply string // of the effect; empty before the effect
}

// keyModel is the model of one key that porcupine checks histories against. Histories are partitioned by key.
var keyModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		var order []string
		for _, op := range history {
			key := op.Input.(keyOp).Key
			if byKey[key] == nil {
				order = append(order, key)
			}
			byKey[key] = append(byKey[key], op)
		}
		out := make([][]porcupine.Operation, 0, len(order))
		for _, key := range order {
			out = append(out, byKey[key])
		}
		return out
	},
	Init: func() any { return keyState{} },
	Step: func(state, input, _ any) (bool, any) {
		s, op := state.(keyState), input.(keyOp)
		switch {
		case op.Effect:
			return s.reply == "", keyState{op.Reply}
		case op.Reply == "":
			return true, s // the try was refused, or its outcome is unknown
		}
		return s.reply == op.Reply, s
	},
	Equal: func(a, b any) bool { return a == b },
}

// keyHistory collects events. Their times are of the run's clock.
type keyHistory struct{ ops []porcupine.Operation }

func (h *keyHistory) add(op keyOp, from, to time.Duration) {
	h.ops = append(h.ops, porcupine.Operation{ClientId: len(h.ops), Input: op, Call: int64(from), Return: int64(to)})
}

// linearizable reports whether there is such an order for each key.
func (h *keyHistory) linearizable() bool { return porcupine.CheckOperations(keyModel, h.ops) }
