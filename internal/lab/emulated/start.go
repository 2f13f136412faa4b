package emulated

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"time"

	"heathgap/internal/cluster"
	"heathgap/internal/clusterparams"
	"heathgap/internal/config"
	"heathgap/internal/operator"
)

// The classes of an emulated member's settings, the same as in the cluster runs of the test harness. A version may change the rules of
// those that are not in Start.FixedClasses.
const (
	LookClass  = "look"  // repeatable
	PayClass   = "pay"   // repeatable, unless a version says otherwise
	OrderClass = "order" // by key; claimed in the holdings if there are any
)

// Settings of an emulated member, and bounds of Start.
const (
	maxAttempts      = 2
	classDeadline    = 800 * time.Millisecond
	orderWindow      = 3 * time.Second
	maxEntries       = 200_000  // the default of an operator's file
	maxBody          = 16 << 10 // the same
	maxRegionDelay   = 10 * time.Second
	maxKeyedRate     = 1000.0 // keyed requests per second and member: more than one of its connections carries
	maxKeyedDuration = time.Minute
)

// millis returns a duration in milliseconds, the unit of the settings.
func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Settings returns the settings of a sidecar in a zone, as in its configuration file. Emulated members use them, and so do the real
// sidecars that run beside them.
func Settings(zone string) map[string]any {
	class := func(name, effect string) map[string]any {
		return map[string]any{"name": name, "effect": effect, "group": "all", "aim": 300.0, "deadline": millis(classDeadline), "worth": 1.0}
	}
	order := class(OrderClass, "by_key")
	order["window"] = millis(orderWindow)
	return map[string]any{
		"me": 0, "replicas_of_me": 1, "az": zone, "tier": 0, "stages": []string{"one"}, "tick": 2.0,
		"membership_mode": "subscribe", "over_share_worth": 0.1,
		"bounds": map[string]any{"cancel": true, "max_attempts": maxAttempts, "connect_timeout": 300.0, "conn_idle": 5000.0, "most_held": 500},
		"rules": map[string]any{"answer_slack": 50.0, "ask_every": 5000.0, "cold": 1000.0, "cold_from": 0.5, "drain_grace": 300.0,
			"fall_multiple": 50.0, "overload_for": 5000.0},
		"profiles": []any{class(LookClass, "repeatable"), class(PayClass, "repeatable"), order},
	}
}

// sidecarConfig returns the configuration of a member, which a real sidecar reads from its file. Its addresses for callers and for
// discovery are placeholders: an emulated member listens for no callers and uses no discovery.
func sidecarConfig(p Peer) (*config.Config, error) {
	text, err := json.Marshal(map[string]any{
		"name": p.Name, "listen": "127.0.0.1:9", "discovery": "127.0.0.1:9", "seed": "1", "settings": Settings(p.Zone),
	})
	if err != nil {
		return nil, err
	}
	return config.Parse(text, func(string) string { return "" })
}

// clusterConfig returns the settings that a real member reads from the tables [crew] and [holdings] of its operator file.
func (s *Start) clusterConfig(p Peer) operator.Cluster {
	t := operator.Cluster{
		Name: s.Cluster, Address: p.Address, Params: s.params(), ContradictAtMost: s.ContradictAtMost, Voters: map[string]string{}, Routes: map[string]string{},
	}
	for _, v := range s.Voters {
		t.Voters[v.Name] = v.Address
	}
	if s.Copies > 0 {
		t.Holdings = operator.Holdings{
			Classes: map[string]operator.WhenAlone{OrderClass: operator.RefuseAlone}, MaxEntries: maxEntries, MaxBody: maxBody,
		}
	}
	return t
}

// params returns the cluster parameters.
func (s *Start) params() cluster.Params {
	t := cluster.Params{Lease: s.Lease, Drift: s.Drift, Slack: s.Slack, FixedClasses: s.FixedClasses}
	if s.Copies > 0 {
		t.Holdings = clusterparams.Holdings{Copies: s.Copies, Keep: s.Keep, LostAfter: s.LostAfter}
	}
	return t
}

// regionOf returns the region of a process; empty if it has none.
func (s *Start) regionOf(p Peer) string { return cmp.Or(s.Regions[p.Address], p.Region) }

// regionsByAddress returns the region of each known address: of Start.Regions, of the voters and of the members.
func (s *Start) regionsByAddress() map[string]string {
	all := maps.Clone(s.Regions)
	if all == nil {
		all = map[string]string{}
	}
	for _, p := range slices.Concat(s.Voters, s.Members) {
		all[p.Address] = s.regionOf(p)
	}
	return all
}

// validate returns an error for the first invalid field, under its name in the JSON line.
func (s *Start) validate() error {
	t := s.params()
	switch {
	case s.Cluster == "":
		return errors.New("crew: missing; allowed: the crew's name")
	case s.Lease < clusterparams.MinLease || s.Lease > clusterparams.MaxLease:
		return fmt.Errorf("lease_ns: %v; allowed: %v to %v", s.Lease, clusterparams.MinLease, clusterparams.MaxLease)
	case s.Drift < 0 || s.Drift > clusterparams.MaxDrift:
		return fmt.Errorf("drift: %v; allowed: 0 to %v", s.Drift, clusterparams.MaxDrift)
	case s.Slack < 0:
		return fmt.Errorf("slack_ns: %v; allowed: 0 and more", s.Slack)
	case t.LessorWait() > s.ContradictAtMost:
		return fmt.Errorf("contradict_at_most_ns: %v; allowed: %v and more, which lease, drift and slack add up to", s.ContradictAtMost, t.LessorWait())
	case s.Copies < 0 || s.Copies > clusterparams.MaxCopies:
		return fmt.Errorf("copies: %d; allowed: 0 to %d", s.Copies, clusterparams.MaxCopies)
	case s.Copies > 0 && (s.Keep < max(clusterparams.MinKeep, orderWindow) || s.Keep > clusterparams.MaxKeep):
		return fmt.Errorf("keep_ns: %v; allowed: %v to %v", s.Keep, max(clusterparams.MinKeep, orderWindow), clusterparams.MaxKeep)
	case s.Copies > 0 && (s.LostAfter < clusterparams.MinLostAfter || s.LostAfter > clusterparams.MaxLostAfter):
		return fmt.Errorf("lost_after_ns: %v; allowed: %v to %v", s.LostAfter, clusterparams.MinLostAfter, clusterparams.MaxLostAfter)
	case s.RegionDelay < 0 || s.RegionDelay > maxRegionDelay:
		return fmt.Errorf("region_delay_ns: %v; allowed: 0 to %v", s.RegionDelay, maxRegionDelay)
	case s.KeyedDuration < 0 || s.KeyedDuration > maxKeyedDuration:
		return fmt.Errorf("order_takes_ns: %v; allowed: 0 to %v", s.KeyedDuration, maxKeyedDuration)
	case len(s.Voters) == 0 || len(s.Voters) > clusterparams.MaxVoters:
		return fmt.Errorf("keepers: %d; allowed: 1 to %d", len(s.Voters), clusterparams.MaxVoters)
	case len(s.Members) == 0 || len(s.Members) > clusterparams.MaxMembers:
		return fmt.Errorf("members: %d; allowed: 1 to %d", len(s.Members), clusterparams.MaxMembers)
	}
	if err := s.validateKeyedRate(s.KeyedRate); err != nil {
		return err
	}
	names, addresses := map[string]bool{}, map[string]bool{}
	for i, p := range slices.Concat(s.Voters, s.Members) {
		where := fmt.Sprintf("keepers[%d]", i)
		if i >= len(s.Voters) {
			where = fmt.Sprintf("members[%d]", i-len(s.Voters))
		}
		_, port, err := net.SplitHostPort(p.Address)
		switch {
		case p.Name == "":
			return fmt.Errorf("%s.name: missing", where)
		case err != nil || port == "" || port == "0":
			return fmt.Errorf("%s.address: %q, of %s; allowed: an address with a port", where, p.Address, p.Name)
		case names[p.Name] || addresses[p.Address]:
			return fmt.Errorf("%s: %s at %s, a second time; allowed: each name and address once", where, p.Name, p.Address)
		case s.Copies > 1 && p.Zone == "" && i >= len(s.Voters):
			return fmt.Errorf("%s.zone: missing, of %s; the copies of a shard are in different zones", where, p.Name)
		}
		names[p.Name], addresses[p.Address] = true, true
	}
	for _, name := range slices.Sorted(maps.Keys(s.Faults)) {
		fault := s.Faults[name]
		switch {
		case fault != IgnoresVersions && fault != RenewsTooOften && fault != LosesState:
			return fmt.Errorf("planted.%s: %q; allowed: %s, %s, %s", name, fault, IgnoresVersions, RenewsTooOften, LosesState)
		case !slices.ContainsFunc(s.Members, func(p Peer) bool { return p.Name == name }):
			return fmt.Errorf("planted.%s: no member of this process", name)
		case fault == LosesState && s.Copies == 0:
			return fmt.Errorf("planted.%s: %s; allowed: only with copies, since without them there is no placement", name, fault)
		}
	}
	return nil
}

// validateKeyedRate returns an error for a rate of keyed requests (per second and member) that is out of bounds, or above 0 without
// holdings.
func (s *Start) validateKeyedRate(rate float64) error {
	switch {
	case !(rate >= 0 && rate <= maxKeyedRate):
		return fmt.Errorf("orders: %v; allowed: 0 to %v", rate, maxKeyedRate)
	case rate > 0 && s.Copies == 0:
		return fmt.Errorf("orders: %v; allowed: with copies, since without them no key can be claimed", rate)
	}
	return nil
}
