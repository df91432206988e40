package standin

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// Route is a route of the configuration.
type Route struct {
	Name, Host, PathPrefix, Kind string
	TimeoutMs, TargetLatencyMs   int
	Priority                     int
	Service                      string
	MaxAttempts                  int
	Stretch                      float64
}

// Service is a service of the configuration.
type Service struct {
	Name, HealthPath    string
	MaxConns            int
	Protocol            string
	Tls, AdmissionCheck bool
	Standby             bool
}

// Config is a complete configuration.
type Config struct {
	Version  int
	Routes   []Route
	Services []Service
	Limits   struct{ MaxHeaderBytes, MaxBodyBytes, HeaderTimeoutMs, IdleTimeoutMs int }
}

// NewConfig returns a configuration with one service and one route for each prefix.
func NewConfig(version int, service string, guarded bool, routes ...Route) Config {
	c := Config{Version: version, Routes: routes}
	c.Services = []Service{{Name: service, HealthPath: "/healthz", MaxConns: 64, Protocol: "h1", AdmissionCheck: guarded}}
	c.Limits.MaxHeaderBytes, c.Limits.MaxBodyBytes, c.Limits.HeaderTimeoutMs, c.Limits.IdleTimeoutMs = 16384, 262144, 3000, 15000
	return c
}

var operatorClient = &http.Client{Timeout: 4 * time.Second}

// Replace sends a configuration to one node. status is 0 without a response.
func (d *Deployment) Replace(to *VM, c Config) (status int) {
	b, _ := json.Marshal(c)
	resp, err := operatorClient.Post("http://"+to.Control()+"/api/Config.Replace", "application/json", bytes.NewReader(b))
	if err != nil {
		d.Record.Printf("operator: version %d to %s: no response", c.Version, to.Name)
		return 0
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	d.Record.Printf("operator: version %d to %s: %d %.100s", c.Version, to.Name, resp.StatusCode, bytes.TrimSpace(body))
	return resp.StatusCode
}

// ReplaceAny sends a configuration to one node after the other until it is acknowledged or
// limit has passed.
func (d *Deployment) ReplaceAny(nodes []*VM, c Config, limit time.Duration) bool {
	for end, i := time.Now().Add(limit), 0; time.Now().Before(end); i++ {
		if d.Replace(nodes[i%len(nodes)], c) == http.StatusOK {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// Read reads the configuration at one node. status is 0 without a response.
func (d *Deployment) Read(at *VM) (version, status int) {
	resp, err := operatorClient.Get("http://" + at.Control() + "/api/Config.Read")
	if err != nil {
		d.Record.Printf("operator: read at %s: no response", at.Name)
		return 0, 0
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	var c Config
	if resp.StatusCode == http.StatusOK {
		_ = json.Unmarshal(body, &c)
	}
	d.Record.Printf("operator: read at %s: %d, version %d", at.Name, resp.StatusCode, c.Version)
	return c.Version, resp.StatusCode
}
