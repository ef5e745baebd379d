package hvhttp

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
)

// AuthFunc returns the caller that a bearer token names.
type AuthFunc func(token string) (caller string, ok bool)

// TokenTable is an immutable table of tokens.
type TokenTable struct {
	callers map[[sha256.Size]byte]string
}

// NewTokenTable returns a table of callers by token. Empty tokens are ignored.
func NewTokenTable(callers map[string]string) *TokenTable {
	t := &TokenTable{callers: map[[sha256.Size]byte]string{}}
	for token, caller := range callers {
		if token != "" {
			t.callers[sha256.Sum256([]byte(token))] = caller
		}
	}
	return t
}

// Lookup implements Auth. It compares digests with every entry, so that its
// time tells nothing about the tokens.
func (t *TokenTable) Lookup(token string) (caller string, ok bool) {
	sum := sha256.Sum256([]byte(token))
	for known, name := range t.callers {
		if subtle.ConstantTimeCompare(known[:], sum[:]) == 1 {
			caller, ok = name, true
		}
	}
	return caller, ok
}

// bearer returns the token of a request, or an empty string.
func bearer(r *http.Request) string {
	scheme, token, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

// authed passes the caller on, or answers 401.
func authed(auth AuthFunc, next func(w http.ResponseWriter, r *http.Request, caller string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token := bearer(r)
		caller, ok := auth(token)
		if token == "" || !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			w.Header().Set(headerOutcome, "not-run")
			writeJSON(w, http.StatusUnauthorized, failure{Error: "Authorization: want a bearer token of a known caller", Field: "Authorization", Outcome: "not-run"})
			return
		}
		next(w, r, caller)
	}
}
