package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"tamarackpin.example/internal/interference"
)

// TestInterference: settings files without the key, as the deployments have them, get the default, and an
// unknown mode is a fault rather than a silent off.
func TestInterference(t *testing.T) {
	for line, want := range map[string]interference.Mode{
		``:                            interference.Avoid,
		`, "interference": "off"`:     interference.Off,
		`, "interference": "observe"`: interference.Observe,
		`, "interference": "avoid"`:   interference.Avoid,
		`, "interference": "on"`:      "",
	} {
		path := filepath.Join(t.TempDir(), "settings.json")
		text := fmt.Sprintf(`{"name": "a", "ip": "127.0.0.1", "failure_domain": "a", "callers": "127.0.0.1:1", "readiness": "127.0.0.1:2",
			"peer_port": 3, "metrics_port": 4, "seeds": ["127.0.0.2:5"], "lease_max": "1s", "stop_max": "50ms", "shutdown_limit": "10s"%s}`, line)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		n, err := LoadNode(path)
		if want == "" {
			if err == nil || !strings.Contains(err.Error(), "want off, observe or avoid") {
				t.Errorf("%s: error %v", line, err)
			}
			continue
		}
		if err != nil || n.Interference != want {
			t.Errorf("%q: %+v, %v, want %s", line, n, err, want)
		}
	}
}
