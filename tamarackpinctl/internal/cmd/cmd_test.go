package cmd

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"golang.org/x/tools/txtar"
)

// drawn is the part of a change's id that differs from run to run.
var drawn = regexp.MustCompile(`ctl-[a-z0-9]{20,}`)

// TestCommands runs the archives in testdata. Each has the arguments, what the
// entry VM answers to each call, and what must be sent and printed. With a file
// "offline" no address is given. UPDATE=1 writes the last two anew.
func TestCommands(t *testing.T) {
	archives, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(archives) == 0 {
		t.Fatalf("%d archives: %v", len(archives), err)
	}
	for _, path := range archives {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txtar"), func(t *testing.T) {
			a, err := txtar.ParseFile(path)
			if err != nil {
				t.Fatal(err)
			}
			replies := make(map[string]string)
			folder := t.TempDir()
			var args, want string
			offline := false
			for _, f := range a.Files {
				switch kind, name, _ := strings.Cut(f.Name, " "); kind {
				case "args":
					args = strings.TrimSpace(string(f.Data))
				case "reply":
					replies[name] = string(f.Data)
				case "file":
					if err := os.WriteFile(filepath.Join(folder, name), f.Data, 0o600); err != nil {
						t.Fatal(err)
					}
				case "offline":
					offline = true
				case "want":
					want = string(f.Data)
				}
			}
			got := runCommand(args, folder, offline, replies)
			if got == want {
				return
			}
			if os.Getenv("UPDATE") == "" {
				t.Fatalf("got:\n%swant:\n%s", got, want)
			}
			a.Files[len(a.Files)-1].Data = []byte(got)
			if err := os.WriteFile(path, txtar.Format(a), 0o600); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// runCommand returns what was sent and printed, and the exit code.
func runCommand(args, folder string, offline bool, replies map[string]string) string {
	var out bytes.Buffer
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		fmt.Fprintf(&out, "> %s %s %s\n", r.Method, r.URL, b)
		reply, ok := replies[r.Method+" "+r.URL.String()]
		status, body, _ := strings.Cut(reply, "\n")
		if !ok || r.Header.Get("Authorization") != "Bearer secret" {
			status, body = "401", `{"code":2008,"name":"unauthorized","outcome":"not_run","message":"no"}`
		}
		if status == "cut" {
			panic(http.ErrAbortHandler) // closes the connection without a reply
		}
		code := 0
		_, _ = fmt.Sscan(status, &code)
		w.WriteHeader(code)
		_, _ = io.WriteString(w, body)
	}))
	defer s.Close()
	all := strings.Fields(strings.ReplaceAll(args, "$FOLDER", folder))
	if !offline {
		all = append([]string{"--address", strings.TrimPrefix(s.URL, "http://")}, all...)
	}
	var stdout, stderr bytes.Buffer
	code := Main(all, &stdout, &stderr)
	s.Close() // waits for a call without a reply, which writes to out as well
	fmt.Fprintf(&out, "%s%sexit %d\n", stdout.String(), stderr.String(), code)
	text := strings.ReplaceAll(drawn.ReplaceAllString(out.String(), "ctl-DRAWN"), folder, "$FOLDER")
	return strings.ReplaceAll(text, s.URL, "http://ADDRESS")
}

// TestOrderThatWasNotSent guards against an order that is called unsure, or done, although no VM was reached.
func TestOrderThatWasNotSent(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	address := strings.TrimPrefix(s.URL, "http://")
	s.Close()
	var stdout, stderr bytes.Buffer
	if code := Main([]string{"--address", address, "--credential", "secret", "evacuation", "begin", "b"}, &stdout, &stderr); code != exitUnreachable {
		t.Errorf("exit %d, want %d: %s%s", code, exitUnreachable, &stdout, &stderr)
	}
}
