package jsonhttp

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"tamarackpin.example/internal/code"
)

// Credential is the operators' credential, as its digest. The zero Credential lets nobody pass.
type Credential struct {
	digest [sha256.Size]byte
}

// NewCredential returns the Credential of a bearer token.
func NewCredential(token string) Credential {
	return Credential{sha256.Sum256([]byte(token))}
}

// Guard lets only those pass who send the credential as a bearer token. The comparison takes the
// same time whatever is sent.
func (c Credential) Guard(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(token))
		if !ok || subtle.ConstantTimeCompare(sum[:], c.digest[:]) != 1 {
			w.Header().Set("WWW-Authenticate", "Bearer")
			Refuse(w, code.New(code.Unauthorized, "send the operators' credential as a bearer token"))
			return
		}
		serve(w, r)
	}
}
