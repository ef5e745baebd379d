// Package hvupstream is a fake upstream: an HTTP service that counts how often
// each request key ran, with faults that can be switched on.
package hvupstream

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// Headers that the side process adds to a request.
const (
	headerKey     = "Idempotency-Key"
	headerRequest = "Hv-Request"
)

// Faults are the injected failures of an upstream.
type Faults struct {
	// RequestDuration is how long the upstream runs a request.
	RequestDuration hv.Duration `json:"took,omitempty"`
	// Fail makes every request fail at once with status 500.
	Fail bool `json:"fail,omitempty"`
	// Hang leaves every request without a response.
	Hang bool `json:"hang,omitempty"`
	// TruncateResponse ends the connection before the end of the response.
	TruncateResponse bool `json:"cut,omitempty"`
}

// Upstream echoes requests.
type Upstream struct {
	mu     sync.Mutex
	faults Faults
	runs   map[string]int
}

// New returns an upstream with its initial faults.
func New(f Faults) *Upstream { return &Upstream{faults: f, runs: map[string]int{}} }

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 1 << 20

// Handler serves the upstream, PUT /faults, and GET /runs with the number of
// runs for each key.
func (u *Upstream) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /faults", u.serveFaults)
	mux.HandleFunc("GET /runs", u.serveRuns)
	mux.HandleFunc("/", u.serve)
	return mux
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	f := u.countRun(r)
	if f.Hang {
		<-r.Context().Done()
		return
	}
	if f.Fail {
		http.Error(w, "fault injected at the upstream", http.StatusInternalServerError)
		return
	}
	time.Sleep(f.RequestDuration.Std())
	response := fmt.Sprintf("%s %s %s", r.Method, r.URL.Path, body)
	if f.TruncateResponse {
		w.Header().Set("Content-Length", fmt.Sprint(len(response)+1))
	}
	_, _ = io.WriteString(w, response)
}

func (u *Upstream) countRun(r *http.Request) Faults {
	u.mu.Lock()
	defer u.mu.Unlock()
	key := r.Header.Get(headerKey)
	if key == "" {
		key = r.Header.Get(headerRequest)
	}
	if key != "" {
		u.runs[key]++
	}
	return u.faults
}

func (u *Upstream) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&f); err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	u.mu.Lock()
	u.faults = f
	u.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (u *Upstream) serveRuns(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(u.runs)
}
