package member

import (
	"strings"
	"testing"
	"time"

	"heathgap/decide"
	"heathgap/internal/config"
	"heathgap/internal/operator"
	"heathgap/internal/terms"
)

// What a sidecar's own settings do not bear is told with the key at fault, before anything is held.
func TestHoldingsThatDoNotFit(t *testing.T) {
	good := func() (operator.Crew, *config.Config) {
		table := operator.Crew{Terms: terms.Terms{Holdings: terms.Holdings{Copies: 2, Keep: time.Minute}},
			Holdings: operator.Holdings{Classes: map[string]operator.WhenAlone{"pay": operator.RefuseAlone}, MostEntries: 1000}}
		conf := &config.Config{Settings: decide.Settings{Zone: "a", Classes: []decide.Class{
			{Name: "pay", Effect: decide.Keyed, Window: time.Second}, {Name: "look", Effect: decide.Safe},
		}}}
		return table, conf
	}
	for want, spoil := range map[string]func(*operator.Crew, *config.Config){
		"": func(*operator.Crew, *config.Config) {},
		`holdings.class: "look"; allowed`: func(c *operator.Crew, _ *config.Config) {
			c.Holdings.Classes = map[string]operator.WhenAlone{"look": operator.GoOn}
		},
		`holdings.class: "sell"; allowed`: func(c *operator.Crew, _ *config.Config) {
			c.Holdings.Classes = map[string]operator.WhenAlone{"sell": operator.GoOn}
		},
		"holdings.keep: 1m0s, under the 1h0m0s":                 func(_ *operator.Crew, conf *config.Config) { conf.Settings.Classes[0].Window = time.Hour },
		"holdings.copies: this sidecar's settings name no zone": func(_ *operator.Crew, conf *config.Config) { conf.Settings.Zone = "" },
	} {
		table, conf := good()
		spoil(&table, conf)
		_, err := newCopies(&Member{conf: table}, conf)
		if (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
}
