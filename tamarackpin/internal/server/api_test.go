package server

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/settings"
	"tamarackpin.example/internal/target"
)

// credential is the operators' in tests.
const credential = "credential-of-the-tests"

// alone is an entry VM by itself, with the addresses that it got.
type alone struct {
	addresses map[string]string
	done      chan error
	stop      context.CancelFunc
}

// freePort returns a port that was free a moment ago.
func freePort(t testing.TB) int {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// start runs an entry VM by itself; more is JSON to add to its settings.
func start(t testing.TB, more string) *alone {
	t.Helper()
	ports := map[string]int{"peers": freePort(t), "callers": freePort(t), "targets": freePort(t), "operators": freePort(t)}
	file := fmt.Sprintf(`{"vm":"vm0","failure_domain":"durban-a","data_folder":%q,%s
		"callers":{"address":"127.0.0.1:%d"},"targets":{"address":"127.0.0.1:%d"},
		"operators":{"address":"127.0.0.1:%d","credential":%q},"ledgers_per_failure_domain":1,
		"vms":[{"vm":"vm0","failure_domain":"durban-a","peer_address":"127.0.0.1:%d","control":true}]}`,
		filepath.Join(t.TempDir(), "data"), more, ports["callers"], ports["targets"], ports["operators"], credential, ports["peers"])
	s, err := settings.Parse([]byte(file))
	if err != nil {
		t.Fatal(err)
	}
	v, err := New(s, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	a := &alone{addresses: make(map[string]string), done: make(chan error, 1), stop: stop}
	for name, port := range ports {
		a.addresses[name] = "127.0.0.1:" + strconv.Itoa(port)
	}
	go func() { a.done <- v.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		select {
		case <-a.done:
		case <-time.After(30 * time.Second):
			t.Error("the entry VM did not end")
		}
	})
	a.await(t, "ready", func() bool {
		status, _ := a.try(http.MethodGet, "operators", "/ready", "")
		return status == http.StatusOK
	})
	return a
}

func (a *alone) await(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(15 * time.Second); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

// try makes a call and returns status and body.
func (a *alone) try(method, to, path, body string) (int, []byte) {
	req, err := http.NewRequest(method, "http://"+a.addresses[to]+path, strings.NewReader(body))
	if err != nil {
		return 0, []byte(err.Error())
	}
	req.Header.Set("Authorization", "Bearer "+credential)
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, []byte(err.Error())
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, []byte(err.Error())
	}
	return resp.StatusCode, b
}

// echo is a target that answers with the task's body.
func echo(t testing.TB) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		w.Header().Set(target.HeaderTask, r.Header.Get(target.HeaderTask))
		fmt.Fprintf(w, `{"done":%s}`, b)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

var example = regexp.MustCompile("(?s)```http\n(\\w+) (\\w+) (\\S+)\n(.*?)```\n\n```json\n(\\d+)\n(.*?)```")

// TestAPIPage runs every example of docs/API.md.
func TestAPIPage(t *testing.T) {
	page, err := os.ReadFile("../../../docs/API.md")
	if err != nil {
		t.Fatal(err)
	}
	a := start(t, `"shutdown_notice":"0s",`)
	known := map[string]string{"target": echo(t)}
	examples := example.FindAllStringSubmatch(string(page), -1)
	if fences := strings.Count(string(page), "```http"); fences != len(examples) || fences < 15 {
		t.Fatalf("%d examples of %d are understood", len(examples), fences)
	}
	for _, e := range examples {
		to, method, path, body, status, want := e[1], e[2], fill(e[3], known), fill(e[4], known), e[5], e[6]
		gotStatus, got := a.try(method, to, path, body)
		learn(want, got, known)
		want = fill(want, known)
		if strconv.Itoa(gotStatus) != status {
			t.Errorf("%s %s: status %d, want %s: %s", method, path, gotStatus, status, got)
			continue
		}
		if difference := compare(t, want, got); difference != "" {
			t.Errorf("%s %s: %s\ngot  %s\nwant %s", method, path, difference, got, want)
		}
	}
	select {
	case err := <-a.done:
		a.done <- err
		if err != nil {
			t.Errorf("the drain ended with %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the drain did not end the server")
	}
}

func fill(text string, known map[string]string) string {
	for name, value := range known {
		text = strings.ReplaceAll(text, "{"+name+"}", value)
	}
	return text
}

// learn takes the ids that a reply issued.
func learn(want string, got []byte, known map[string]string) {
	var reply struct {
		IDs []string `json:"ids"`
	}
	if !strings.Contains(want, "{id0}") || json.Unmarshal(got, &reply) != nil {
		return
	}
	for i, id := range reply.IDs {
		known[fmt.Sprint("id", i)] = id
	}
}

// compare returns where got is not what want says; "…" stands for anything.
func compare(t *testing.T, want string, got []byte) string {
	t.Helper()
	var w, g any
	if err := json.Unmarshal([]byte(want), &w); err != nil {
		t.Fatalf("the page has %s: %v", want, err)
	}
	if err := json.Unmarshal(got, &g); err != nil {
		return err.Error()
	}
	return differ("", w, g)
}

func differ(path string, want, got any) string {
	if want == "…" {
		return ""
	}
	switch w := want.(type) {
	case map[string]any:
		g, ok := got.(map[string]any)
		if !ok || len(g) != len(w) {
			return fmt.Sprintf("%s: %v", path, got)
		}
		for k := range w {
			if d := differ(path+"."+k, w[k], g[k]); d != "" {
				return d
			}
		}
		return ""
	case []any:
		g, ok := got.([]any)
		if !ok || len(g) != len(w) {
			return fmt.Sprintf("%s: %v", path, got)
		}
		for i := range w {
			if d := differ(fmt.Sprintf("%s[%d]", path, i), w[i], g[i]); d != "" {
				return d
			}
		}
		return ""
	}
	if !reflect.DeepEqual(want, got) {
		return fmt.Sprintf("%s: %v, want %v", path, got, want)
	}
	return ""
}

// TestBadInput: whatever is sent gets a code and a sentence, and the next
// caller is served (issue 3).
func TestBadInput(t *testing.T) {
	a := start(t, `"body_timeout":"300ms",`)
	const good = `{"party":"p","kind":"k","body":{}}`
	for _, c := range []struct {
		name, method, to, path, body string
		status                       int
		code                         float64
	}{
		{"broken JSON", "POST", "callers", "/v1/requests", `{"party":`, 400, 2001},
		{"wrong type", "POST", "callers", "/v1/requests", `{"party":7}`, 400, 2001},
		{"unknown field", "POST", "callers", "/v1/requests", `{"party":"p","kind":"k","body":{},"colour":1}`, 400, 2001},
		{"two values", "POST", "callers", "/v1/requests", good + good, 400, 2001},
		{"no body", "POST", "callers", "/v1/requests", "", 400, 2001},
		{"missing body field", "POST", "callers", "/v1/requests", `{"party":"p","kind":"k"}`, 400, 2003},
		{"bad name", "POST", "callers", "/v1/requests", `{"party":"P Q","kind":"k","body":{}}`, 400, 2003},
		{"bad duration", "POST", "callers", "/v1/requests", `{"party":"p","kind":"k","body":{},"deadline":"soon"}`, 400, 2001},
		{"deadline over its bound", "POST", "callers", "/v1/requests", `{"party":"p","kind":"k","body":{},"deadline":"11m"}`, 400, 2003},
		{"too long", "POST", "callers", "/v1/requests", `{"party":"p","kind":"k","body":"` + strings.Repeat("x", 300<<10) + `"}`, 413, 2002},
		{"unknown party", "POST", "callers", "/v1/requests", good, 403, 2004},
		{"unknown path", "GET", "callers", "/v1/nothing", "", 404, 2006},
		{"wrong method", "GET", "callers", "/v1/requests", "", 405, 2007},
		{"bad id", "GET", "callers", "/v1/submissions/xyz", "", 400, 2003},
		{"id never issued", "PUT", "callers", "/v1/submissions/durban-a.0.1.1.9999", `{"party":"p","kind":"k","tasks":[{"body":1}]}`, 400, 2003},
		{"bad wait", "GET", "callers", "/v1/submissions/durban-a.0.1.1.1?wait=-1s", "", 400, 2003},
		{"no tasks", "POST", "callers", "/v1/submissions", `{"party":"p","kind":"k","tasks":[]}`, 400, 2003},
		{"too many tasks", "POST", "callers", "/v1/submissions", `{"party":"p","kind":"k","tasks":[` + strings.Repeat(`{"body":1},`, 2000) + `{"body":1}]}`, 400, 2003},
		{"too many ids", "POST", "callers", "/v1/submission-ids", `{"count":1001}`, 400, 2003},
		{"bad announcement", "POST", "targets", "/v1/announcements", `{"target":"t","address":"localhost:1"}`, 400, 2003},
		{"empty change", "POST", "operators", "/v1/table/changes", `{"change_id":"c","based_on":0}`, 400, 5002},
		{"row out of bounds", "POST", "operators", "/v1/table/changes", `{"change_id":"c","based_on":0,"set":[{"party":"p","kind":"k","weight":0}]}`, 400, 5002},
		{"bad history", "GET", "operators", "/v1/table/history?most=x", "", 400, 2003},
	} {
		t.Run(c.name, func(t *testing.T) {
			status, b := a.try(c.method, c.to, c.path, c.body)
			var reply map[string]any
			if err := json.Unmarshal(b, &reply); err != nil || status != c.status || reply["code"] != c.code || reply["message"] == "" {
				t.Errorf("status %d, want %d, code %v: %s", status, c.status, c.code, b)
			}
			if c.status < 500 && reply["outcome"] != "not_run" {
				t.Errorf("the outcome is %v", reply["outcome"])
			}
		})
	}
	t.Run("slow sender", func(t *testing.T) { slowSender(t, a.addresses["callers"]) })
	t.Run("body that stops", func(t *testing.T) { bodyStops(t, a.addresses["callers"]) })
	t.Run("no credential", func(t *testing.T) { noCredential(t, a.addresses["operators"]) })
	if status, _ := a.try("GET", "callers", "/ready", ""); status != http.StatusOK {
		t.Errorf("after all that the entry VM is not ready: %d", status)
	}
}

// slowSender sends a body slower than the settings allow.
func slowSender(t *testing.T, address string) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "POST /v1/requests HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: 100\r\n\r\n{")
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	b, _ := io.ReadAll(c)
	if !bytes.Contains(b, []byte(`"code":2005`)) {
		t.Errorf("reply %q", b)
	}
}

// bodyStops closes its side in the middle of a body.
func bodyStops(t *testing.T, address string) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "POST /v1/requests HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{\"party\"")
	_ = c.(*net.TCPConn).CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	b, _ := io.ReadAll(c)
	if !bytes.Contains(b, []byte(`"code":2005`)) {
		t.Errorf("reply %q", b)
	}
}

func noCredential(t *testing.T, address string) {
	for _, header := range []string{"", "Bearer wrong", "Basic " + credential} {
		for _, path := range []string{"/v1/table", "/v1/report", "/v1/status", "/v1/targets", "/v1/table/history", "/metrics"} {
			req, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("Authorization", header)
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusUnauthorized {
				t.Errorf("%s with %q: status %d", path, header, resp.StatusCode)
			}
		}
	}
}

// TestMetricsAreScraped: histograms for each party and kind.
func TestMetricsAreScraped(t *testing.T) {
	a := start(t, "")
	a.try("POST", "operators", "/v1/table/changes", `{"change_id":"c","based_on":0,"set":[{"party":"p","kind":"k","weight":1,"max_in_flight":9,"max_queue":9,"deadline":"5s","time_limit":"5s"}]}`)
	a.try("POST", "targets", "/v1/announcements", fmt.Sprintf(`{"target":"t01","address":%q,"failure_domain":"durban-a","incarnation":1,"sequence":1,"slots":8,"connections":60,"kinds":["k"]}`, echo(t)))
	if status, b := a.try("POST", "callers", "/v1/requests", `{"party":"p","kind":"k","body":1}`); status != http.StatusOK {
		t.Fatalf("status %d: %s", status, b)
	}
	_, b := a.try("GET", "operators", "/metrics", "")
	for _, want := range []string{
		`tamarackpin_request_duration_seconds_bucket{code="ok",kind="k"`, `tamarackpin_task_duration_seconds_count{code="ok",kind="k"`,
		"tamarackpin_table_version", "tamarackpin_callers_in_hand",
	} {
		if !bytes.Contains(b, []byte(want)) {
			t.Errorf("the metrics lack %s:\n%s", want, b)
		}
	}
}
