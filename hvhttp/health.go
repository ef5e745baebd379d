package hvhttp

import (
	"io"
	"net/http"
)

// HealthAPI serves /healthz, /readyz and /metrics without credentials.
type HealthAPI struct {
	// Ready returns nil if the process can serve requests, or else the reason.
	Ready func() error
	// Metrics writes the metrics, one line per series.
	Metrics func(w io.Writer) error
}

// Register adds the API to a mux.
func (h HealthAPI) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", h.ready)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		// A write error means that the client has disconnected.
		_ = h.Metrics(w)
	})
}

func (h HealthAPI) ready(w http.ResponseWriter, _ *http.Request) {
	if err := h.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}
