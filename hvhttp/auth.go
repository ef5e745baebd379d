package hvhttp

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
)

// AuthFunc returns the caller that a bearer token belongs to.
type AuthFunc func(token string) (caller string, ok bool)

// TokenTable is an immutable table of callers by token.
type TokenTable struct {
	callers map[[sha256.Size]byte]string
}

// NewTokenTable returns a table from a map of callers by token. Empty tokens are
// ignored.
func NewTokenTable(callers map[string]string) *TokenTable {
	t := &TokenTable{callers: map[[sha256.Size]byte]string{}}
	for token, caller := range callers {
		if token != "" {
			t.callers[sha256.Sum256([]byte(token))] = caller
		}
	}
	return t
}

// Lookup implements AuthFunc. It compares the digest of the token with every entry
// in constant time, so that its duration reveals nothing about the tokens.
func (t *TokenTable) Lookup(token string) (caller string, ok bool) {
	digest := sha256.Sum256([]byte(token))
	for known, name := range t.callers {
		if subtle.ConstantTimeCompare(known[:], digest[:]) == 1 {
			caller, ok = name, true
		}
	}
	return caller, ok
}

// bearer returns the bearer token of a request, or an empty string.
func bearer(r *http.Request) string {
	scheme, token, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

// requireAuth passes the authenticated caller to next, or responds with status 401.
func requireAuth(auth AuthFunc, next func(w http.ResponseWriter, r *http.Request, caller string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token := bearer(r)
		caller, ok := auth(token)
		if token == "" || !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			w.Header().Set(headerOutcome, "not-run")
			writeJSON(w, http.StatusUnauthorized, errorBody{Error: "Authorization: want a bearer token of a known caller", Field: "Authorization", Outcome: "not-run"})
			return
		}
		next(w, r, caller)
	}
}
