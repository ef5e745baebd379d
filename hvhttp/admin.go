package hvhttp

import (
	"context"
	"encoding/json"
	"net/http"

	hv "hibiscusvane.example/hibiscusvane"
)

// Settings is a version of the settings with its files.
type Settings struct {
	Version hv.Offset                  `json:"version"`
	Author  string                     `json:"author,omitempty"`
	Files   map[string]json.RawMessage `json:"files"`
}

// Publication is the body of POST /admin/publish.
type Publication struct {
	// Base is the version on which the publication is based.
	Base   hv.Offset `json:"base"`
	Author string    `json:"author,omitempty"`
	// Files holds the contents of the settings folder by file name.
	Files map[string]json.RawMessage `json:"files"`
}

// Admin implements the operations of the admin API.
type Admin interface {
	Settings(ctx context.Context) (Settings, error)
	// Publish returns the new version. An error of kind Conflict contains the
	// version that was published first.
	Publish(ctx context.Context, p Publication) (hv.Offset, error)
	// Status and Explain return values that can be encoded as JSON.
	Status(ctx context.Context) (any, error)
	Explain(ctx context.Context, task string) (any, error)
	Drain(ctx context.Context, host string) error
}

// AdminAPI serves the admin API.
type AdminAPI struct {
	// Auth returns the name of the operator. It must reject every token if none is
	// configured.
	Auth  AuthFunc
	Admin Admin

	bodies *bodyBudget
}

// Register adds the API to a mux.
func (h AdminAPI) Register(mux *http.ServeMux) {
	h.bodies = newBodyBudget(documentMemory)
	mux.HandleFunc("GET /admin/settings", requireAuth(h.Auth, h.serveDocument(func(r *http.Request) (any, error) { return h.Admin.Settings(r.Context()) })))
	mux.HandleFunc("GET /admin/status", requireAuth(h.Auth, h.serveDocument(func(r *http.Request) (any, error) { return h.Admin.Status(r.Context()) })))
	mux.HandleFunc("GET /admin/explain/{task...}", requireAuth(h.Auth, h.serveDocument(func(r *http.Request) (any, error) {
		return h.Admin.Explain(r.Context(), r.PathValue("task"))
	})))
	mux.HandleFunc("POST /admin/drain/{host}", requireAuth(h.Auth, h.drain))
	mux.HandleFunc("POST /admin/publish", requireAuth(h.Auth, h.publish))
}

func (h AdminAPI) serveDocument(get func(r *http.Request) (any, error)) handler {
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
	body, release, err := h.bodies.read(w, r, operator, maxPublicationSize)
	if err != nil {
		writeError(w, err, "")
		return
	}
	defer release()
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
