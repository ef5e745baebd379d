package main

import (
	"encoding/json"
	"net/http"

	hv "hibiscusvane.example/hibiscusvane"
)

// response is a complete response of a gate.
type response struct {
	status int
	body   []byte
}

// errorBody is the body of an error response.
type errorBody struct {
	Error   string       `json:"error"`
	Kind    hv.ErrorKind `json:"kind"`
	Version hv.Offset    `json:"version"`
}

// decode parses the document of a successful response into a value, or returns
// the error that the gate reported.
func (r response) decode(method string, into any) error {
	if r.status < 200 || r.status > 299 {
		return r.toError(method)
	}
	if err := json.Unmarshal(r.body, into); err != nil {
		return errorf("answer", unknownOutcomeKind(method), "status %d: response body is not the JSON of a gate: %v", r.status, err)
	}
	return nil
}

// unknownOutcomeKind is the kind of an error after which it is unknown whether
// the request took effect.
func unknownOutcomeKind(method string) hv.ErrorKind {
	if method == http.MethodGet {
		return hv.Unavailable
	}
	return hv.Uncertain
}

func (r response) toError(method string) error {
	var f errorBody
	if json.Unmarshal(r.body, &f) != nil || f.Error == "" {
		f = errorBody{Error: http.StatusText(r.status)}
	}
	// A response without a kind may come from a load balancer, which does not
	// know the outcome of a request that it forwarded.
	known := f.Kind != "" && f.Kind != hv.Internal
	switch {
	case !known && r.status >= 400 && r.status < 500 && r.status != http.StatusRequestTimeout:
		f.Kind = denied
	case !known:
		f.Kind = unknownOutcomeKind(method)
	}
	if f.Version != 0 {
		return errorf("refused", f.Kind, "%s (version in force: %d)", f.Error, f.Version)
	}
	return errorf("gate", f.Kind, "%s (status %d)", f.Error, r.status)
}
