package main

import (
	"encoding/json"
	"net/http"

	hv "hibiscusvane.example/hibiscusvane"
)

// response is a whole answer of a gate.
type response struct {
	status int
	body   []byte
}

// failure is the body of a refusal.
type failure struct {
	Error   string       `json:"error"`
	Kind    hv.ErrorKind `json:"kind"`
	Version hv.Offset    `json:"version"`
}

// decode reads the document of a success into a value, or returns the error
// that the gate gave.
func (r response) decode(method string, into any) error {
	if r.status < 200 || r.status > 299 {
		return r.refusal(method)
	}
	if err := json.Unmarshal(r.body, into); err != nil {
		return errorf("answer", unclear(method), "status %d: not the JSON of a gate: %v", r.status, err)
	}
	return nil
}

// unclear is the kind of an error after which nothing is known of the effect.
func unclear(method string) hv.ErrorKind {
	if method == http.MethodGet {
		return hv.Unavailable
	}
	return hv.Uncertain
}

func (r response) refusal(method string) error {
	var f failure
	if json.Unmarshal(r.body, &f) != nil || f.Error == "" {
		f = failure{Error: http.StatusText(r.status)}
	}
	// Without a kind the answer may be that of a balancer, which does not know
	// what became of a request that it passed on.
	known := f.Kind != "" && f.Kind != hv.Internal
	switch {
	case !known && r.status >= 400 && r.status < 500 && r.status != http.StatusRequestTimeout:
		f.Kind = denied
	case !known:
		f.Kind = unclear(method)
	}
	if f.Version != 0 {
		return errorf("refused", f.Kind, "%s (version in force: %d)", f.Error, f.Version)
	}
	return errorf("gate", f.Kind, "%s (status %d)", f.Error, r.status)
}
