package lifecycle

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"heathgap/internal/lab/scripted"
	"heathgap/internal/operator"
)

// useProbing changes settings to those of endpoints that report their load to probes.
func useProbing(settings map[string]any) map[string]any {
	settings["family"], settings["replicas_of_me"] = "mesh", 100
	settings["bounds"].(map[string]any)["probing"] = true
	settings["report"] = map[string]any{"how": "pull", "fields": []string{"outstanding", "utilization"}}
	settings["deductions"] = map[string]any{"probe": 0.002}
	return settings
}

// loadedEndpoint starts an endpoint that reports the given load to probes and returns its list entry.
func loadedEndpoint(t *testing.T, name, load string) map[string]any {
	t.Helper()
	return scripted.StartEndpoint(t, name, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/metrics/load" {
			w.Write([]byte(load))
			return
		}
		w.Write([]byte(name))
	}).Line()
}

// With probing, a sidecar probes endpoints before it sends a request, and chooses by the load that they report.
func TestProbesDecideWhereARequestGoes(t *testing.T) {
	busy, idle := loadedEndpoint(t, "busy", "outstanding=5,utilization=1.0"), loadedEndpoint(t, "idle", "outstanding=0,utilization=0.1")
	conf := scripted.SidecarConfig(scripted.StartDiscovery(t), busy, idle)
	useProbing(conf["settings"].(map[string]any))
	s := start(t, conf)
	for range 20 {
		if status, body := get(t, s.Address(), "/look"); status != 200 || body != "idle" {
			t.Fatalf("answer: %d %q, want 200 of the idle one", status, body)
		}
	}
	if n := s.Counters().Probed; n < 2 { // an answer to a probe is used for several requests
		t.Errorf("%d probes for 20 requests", n)
	}
}

// A failing probe must not delay a request beyond its deadline: the other endpoint answers it.
func TestProbeOfADeadEndpoint(t *testing.T) {
	gone := httptest.NewServer(http.NotFoundHandler())
	dead := loadedEndpoint(t, "dead", "")
	dead["address"] = strings.TrimPrefix(gone.URL, "http://")
	gone.Close()
	conf := scripted.SidecarConfig(scripted.StartDiscovery(t), dead, loadedEndpoint(t, "alive", "outstanding=0, utilization=0.1\n"))
	useProbing(conf["settings"].(map[string]any))
	s := start(t, conf)
	for range 5 {
		if status, body := get(t, s.Address(), "/look"); status != 200 || body != "alive" {
			t.Fatalf("answer: %d %q, want 200 of the living one", status, body)
		}
	}
}

// The shadow mode decides as without it, sends no probes, and counts where the shadow settings would decide otherwise.
func TestShadowMode(t *testing.T) {
	e := scripted.StartEndpoint(t, "e1", nil)
	other := scripted.StartEndpoint(t, "e2", nil)
	conf := scripted.SidecarConfig(scripted.StartDiscovery(t), e.Line(), other.Line())
	text, err := json.Marshal(useProbing(scripted.SidecarSettings()))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	settings, file := filepath.Join(dir, "new.json"), filepath.Join(dir, "operator.toml")
	if err := os.WriteFile(settings, text, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, []byte("[watch]\nsettings = \""+settings+"\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	watch, err := operator.Load(file)
	if err != nil {
		t.Fatal(err)
	}
	s := startWith(t, conf, Options{Operator: watch})
	for range 40 {
		if status, _ := get(t, s.Address(), "/look"); status != 200 {
			t.Fatalf("status %d, want 200", status)
		}
	}
	c := s.Counters()
	if c.Shadow == nil || c.Shadow.Followed != 40 || c.Shadow.Probes == 0 {
		t.Fatalf("shadow: %+v, want 40 requests and probes that would have been sent", c.Shadow)
	}
	if c.Shadow.Same+c.Shadow.SentElsewhere == 0 || c.Probed != 0 {
		t.Errorf("%+v, and %d probes sent", c.Shadow, c.Probed)
	}
}
