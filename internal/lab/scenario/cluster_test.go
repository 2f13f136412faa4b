package scenario

import (
	"path/filepath"
	"strings"
	"testing"
)

// The cluster scenarios of the repository are valid, and a step for an unknown process is an error: it would otherwise
// apply to the first voter.
func TestRepositoryClusters(t *testing.T) {
	paths, err := filepath.Glob("../../../lab/crews/*.toml")
	if err != nil || len(paths) < 3 {
		t.Fatalf("%q, %v", paths, err)
	}
	for _, path := range paths {
		if _, err := LoadCluster(path); err != nil {
			t.Error(err)
		}
	}
	for who, valid := range map[string]bool{"leader": true, "all": true, "k3": true, "m2": true, "k4": false, "m0": false, "m3": false, "m1x": false, "nobody": false} {
		_, err := ParseCluster("f.toml", []byte("name = \"x\"\n[[step]]\ndo = \"kill\"\nwho = \""+who+"\"\n"))
		if (err == nil) != valid || err != nil && !strings.Contains(err.Error(), "k1 to k3, m1 to m2") {
			t.Errorf("%s: %v", who, err)
		}
	}
}
