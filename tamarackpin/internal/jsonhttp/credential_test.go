package jsonhttp

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// TestCredential guards against a call that passes without the operators' credential, also where none is configured.
func TestCredential(t *testing.T) {
	for _, c := range []struct {
		name, header string
		credential   Credential
		want         int
	}{
		{"right", "Bearer right", NewCredential("right"), http.StatusOK},
		{"wrong", "Bearer wrong", NewCredential("right"), http.StatusUnauthorized},
		{"prefix of the right one", "Bearer righ", NewCredential("right"), http.StatusUnauthorized},
		{"another scheme", "Basic right", NewCredential("right"), http.StatusUnauthorized},
		{"no header", "", NewCredential("right"), http.StatusUnauthorized},
		{"empty token, none configured", "Bearer ", Credential{}, http.StatusUnauthorized},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodGet, "/", nil)
			if c.header != "" {
				r.Header.Set("Authorization", c.header)
			}
			w := httptest.NewRecorder()
			served := false
			c.credential.Guard(func(http.ResponseWriter, *http.Request) { served = true })(w, r)
			if w.Code != c.want || served != (c.want == http.StatusOK) {
				t.Errorf("status %d, served %t, want status %d", w.Code, served, c.want)
			}
			if challenge := w.Header().Get("WWW-Authenticate"); !served && challenge != "Bearer" {
				t.Errorf("challenge %q", challenge)
			}
		})
	}
}
