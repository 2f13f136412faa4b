package harness

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"heathgap/decide"
	"heathgap/internal/versions"
)

// The classes in the settings of a cluster's sidecars. No version may change the load's class, versions change the probed class,
// and the keyed class has holdings if Copies isn't 0.
const (
	LoadClass   = loadClass
	ProbedClass = probedClass
	KeyedClass  = keyedClass
)

// NamedAddress is the address of a named member or endpoint.
type NamedAddress struct{ Name, Address string }

// ClusterFile describes the cluster to one process. It is written as an operator's file.
type ClusterFile struct {
	Name, Address, Data string
	Lease               time.Duration
	Drift               float64
	Slack               time.Duration
	ContradictAtMost    time.Duration
	Voters              []NamedAddress
	Routes              []NamedAddress // addresses of members as this process reaches them, if it reaches them through relays
	Copies              int            // replication factor; 0 for no holdings
	OutcomeLifetime     time.Duration
	LostAfter           time.Duration
}

// Text returns the file in TOML.
func (f *ClusterFile) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[crew]\nname = %q\naddress = %q\ndata = %q\nlease = %q\ndrift = %v\nslack = %q\ncontradict_at_most = %q\n",
		f.Name, f.Address, f.Data, f.Lease, f.Drift, f.Slack, f.ContradictAtMost)
	fmt.Fprintf(&b, "fixed_classes = [%q]\n", loadClass)
	for _, v := range f.Voters {
		fmt.Fprintf(&b, "[[crew.keeper]]\nname = %q\naddress = %q\n", v.Name, v.Address)
	}
	for _, w := range f.Routes {
		fmt.Fprintf(&b, "[[crew.way]]\nname = %q\naddress = %q\n", w.Name, w.Address)
	}
	if f.Copies > 0 {
		fmt.Fprintf(&b, "[holdings]\ncopies = %d\nkeep = %q\nlost_after = %q\n[[holdings.class]]\nname = %q\n", f.Copies, f.OutcomeLifetime, f.LostAfter, keyedClass)
	}
	return b.String()
}

// SidecarFile is the configuration of a sidecar in a cluster.
type SidecarFile struct {
	Name, Listen string
	Host         string // the sidecar's own
	Seed         uint64
	Me, Replicas int
	Zone         string
	Effect       decide.Effect // of the probed class
	Endpoints    []NamedAddress
}

// JSON returns the configuration as the platform writes it.
func (f *SidecarFile) JSON() ([]byte, error) {
	lines := []any{}
	for i, e := range f.Endpoints {
		lines = append(lines, map[string]any{"name": e.Name, "address": e.Address, "zone": "a", "group": i, "status": "SERVING"})
	}
	class := func(name, effect string) any {
		return map[string]any{"name": name, "effect": effect, "group": "all", "aim": 300.0, "deadline": clusterDeadlineMS, "worth": 1.0}
	}
	return json.Marshal(map[string]any{
		"name": f.Name, "listen": f.Listen, "discovery": f.Host + ":9", "seed": fmt.Sprintf("%x", f.Seed),
		"known": map[string]any{"index": 1, "snapshot": true, "endpoints": lines},
		"settings": map[string]any{
			"me": f.Me, "replicas_of_me": f.Replicas, "az": f.Zone, "tier": 0, "stages": []string{"one"}, "tick": 2.0,
			"membership_mode": "subscribe", "over_share_worth": 0.1,
			"bounds": map[string]any{"cancel": true, "max_attempts": maxAttempts, "connect_timeout": 300.0, "conn_idle": 5000.0, "most_held": 500},
			"rules": map[string]any{"answer_slack": 50.0, "ask_every": 5000.0, "cold": 1000.0, "cold_from": 0.5, "drain_grace": 300.0,
				"fall_multiple": 50.0, "overload_for": 5000.0},
			"profiles": []any{class(loadClass, "repeatable"), class(probedClass, versions.EffectNames[f.Effect]), map[string]any{
				"name": keyedClass, "effect": "by_key", "group": "all", "window": millis(keyWindow), "aim": 300.0, "deadline": clusterDeadlineMS, "worth": 1.0,
			}},
		},
	})
}
