package decide

import "time"

// DynamicSettings are the settings that may change while an instance runs: the rules that the sidecars of a
// cluster agree on. This file decides nothing.
type DynamicSettings struct {
	Classes     map[string]DynamicClass // by name; classes that are not named stay as they are
	MaxAttempts int                     // at least 1
	Hedging     bool
}

// DynamicClass is the part of a Class that may change while an instance runs.
type DynamicClass struct {
	Effect Effect
	Group  Group
	Window time.Duration
}

// applyDynamic puts dynamic settings into effect, for pending requests too: a request that has run under a
// looser rule is not repeated under a stricter one.
func (b *Balancer) applyDynamic(d *DynamicSettings) {
	for name, rule := range d.Classes {
		if c := b.classes[name]; c != nil && rule.Effect != EffectUnset {
			c.Effect, c.Group, c.Window = rule.Effect, rule.Group, rule.Window
		}
	}
	b.settings.Limits.MaxAttempts, b.settings.Limits.Hedging = max(1, d.MaxAttempts), d.Hedging
}
