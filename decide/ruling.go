package decide

import "time"

// DynamicSettings is what may change of the settings while an instance runs: the rules that the
// sidecars of a crew agree on. It decides nothing.
type DynamicSettings struct {
	Classes     map[string]DynamicClass // of those that the settings name; others stay as they are
	MaxAttempts int                     // at least 1
	Hedging     bool
}

// DynamicClass is the part of a Class that a ruling sets.
type DynamicClass struct {
	Effect Effect
	Group  Group
	Window time.Duration
}

// ruled puts a ruling in force, for what is held too: a request that has run under a looser rule is not
// repeated under a stricter one.
func (b *Balancer) ruled(r *DynamicSettings) {
	for name, rule := range r.Classes {
		if c := b.classes[name]; c != nil && rule.Effect != EffectUnset {
			c.Effect, c.Group, c.Window = rule.Effect, rule.Group, rule.Window
		}
	}
	b.set.Limits.MaxAttempts, b.set.Limits.Hedging = max(1, r.MaxAttempts), r.Hedging
}
