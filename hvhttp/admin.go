package hvhttp

import (
	"context"
	"encoding/json"
	"net/http"

	hv "hibiscusvane.example/hibiscusvane"
)

// Settings is a version of the settings with the files it was made of.
type Settings struct {
	Version hv.Offset                  `json:"version"`
	Author  string                     `json:"author,omitempty"`
	Files   map[string]json.RawMessage `json:"files"`
}

// Publication is the body of POST /admin/publish.
type Publication struct {
	// Base is the version that the publication was made from.
	Base   hv.Offset `json:"base"`
	Author string    `json:"author,omitempty"`
	// Files holds the settings folder by file name.
	Files map[string]json.RawMessage `json:"files"`
}

// Admin is what operators can ask of a gate.
type Admin interface {
	Settings(ctx context.Context) (Settings, error)
	// Publish returns the new version. An error of kind Conflict names the
	// version that won.
	Publish(ctx context.Context, p Publication) (hv.Offset, error)
	// Status and Explain return documents that encode as JSON.
	Status(ctx context.Context) (any, error)
	Explain(ctx context.Context, task string) (any, error)
	Drain(ctx context.Context, host string) error
}

// AdminAPI serves the admin API.
type AdminAPI struct {
	// Auth returns the name of the operator. It must refuse every token while
	// none is configured.
	Auth  AuthFunc
	Admin Admin

	bodies *bodies
}

// Register adds the API to a mux.
func (h AdminAPI) Register(mux *http.ServeMux) {
	h.bodies = newBodies(documentMemory)
	mux.HandleFunc("GET /admin/settings", authed(h.Auth, h.document(func(r *http.Request) (any, error) { return h.Admin.Settings(r.Context()) })))
	mux.HandleFunc("GET /admin/status", authed(h.Auth, h.document(func(r *http.Request) (any, error) { return h.Admin.Status(r.Context()) })))
	mux.HandleFunc("GET /admin/explain/{task...}", authed(h.Auth, h.document(func(r *http.Request) (any, error) {
		return h.Admin.Explain(r.Context(), r.PathValue("task"))
	})))
	mux.HandleFunc("POST /admin/drain/{host}", authed(h.Auth, h.drain))
	mux.HandleFunc("POST /admin/publish", authed(h.Auth, h.publish))
}

func (h AdminAPI) document(get func(r *http.Request) (any, error)) handler {
	return func(w http.ResponseWriter, r *http.Request, _ string) {
		v, err := get(r)
		if err != nil {
			writeError(w, err, "")
			return
		}
		writeJSON(w, http.StatusOK, v)
	}
}

func (h AdminAPI) drain(w http.ResponseWriter, r *http.Request, _ string) {
	host := r.PathValue("host")
	if err := h.Admin.Drain(r.Context(), host); err != nil {
		writeError(w, err, host)
		return
	}
	writeJSON(w, http.StatusAccepted, map[string]string{"host": host})
}

func (h AdminAPI) publish(w http.ResponseWriter, r *http.Request, operator string) {
	body, free, err := h.bodies.read(w, r, operator, maxSettings)
	if err != nil {
		writeError(w, err, "")
		return
	}
	defer free()
	p, err := decode[Publication](body)
	if err == nil && len(p.Files) == 0 {
		err = invalid("files", "want at least one settings file")
	}
	if err != nil {
		writeError(w, err, "")
		return
	}
	version, err := h.Admin.Publish(r.Context(), p)
	if err != nil {
		writeError(w, err, "")
		return
	}
	writeJSON(w, http.StatusOK, map[string]hv.Offset{"version": version})
}
