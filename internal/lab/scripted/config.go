package scripted

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// SidecarSettings returns the settings of a small deployment with a class of each effect, for changes.
func SidecarSettings() map[string]any {
	return map[string]any{
		"me": 0, "replicas_of_me": 1, "az": "z", "tier": 0, "stages": []string{"one", "two"}, "tick": 2.0,
		"membership_mode": "subscribe", "weights": "silent", "worth_by": "request", "over_share_worth": 0.1,
		"bounds": map[string]any{
			"cancel": true, "second_copies": true, "retry_after": true, "probing": false, "max_attempts": 4,
			"max_retry_after": 2000.0, "connect_timeout": 500.0, "conn_idle": 10000.0, "most_held": 1000,
		},
		"rules": map[string]any{
			"answer_slack": 20.0, "ask_every": 10000.0, "cold": 8000.0, "cold_from": 0.3,
			"drain_grace": 1000.0, "fall_multiple": 3.0, "overload_for": 3000.0,
		},
		"profiles": []any{Class("look", "repeatable", 1), Class("pay", "by_key", 3), Class("burn", "once", 3)},
	}
}

// Class returns a class of the settings, for changes.
func Class(name, effect string, worth float64) map[string]any {
	return map[string]any{
		"name": name, "effect": effect, "group": "all", "aim": 500.0, "deadline": 2000.0,
		"window": 2000.0, "worth": worth, "late_share": 0.5, "stream": false,
	}
}

// Millis returns a duration as the settings give it.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// SidecarConfig returns the configuration file of a sidecar with SidecarSettings as an object, for changes.
func SidecarConfig(d *Discovery, known ...map[string]any) map[string]any {
	return map[string]any{
		"name": "t0", "listen": "127.0.0.1:0", "discovery": d.Address, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  FullList(1, known...), "settings": SidecarSettings(),
	}
}

// WriteConfig writes a configuration to a file and returns its path.
func WriteConfig(t testing.TB, conf map[string]any) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, encode(t, conf), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
