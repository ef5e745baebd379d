package hvhttp

import (
	"net/http"

	hv "hibiscusvane.example/hibiscusvane"
)

// cancelBody is the body of POST /v1/cancel.
type cancelBody struct {
	IDs   []string `json:"ids"`
	Label string   `json:"label"`
}

// selection checks that exactly one way to name tasks is used.
func (b cancelBody) selection() (s Selection, err error) {
	switch {
	case len(b.IDs) == 0 && b.Label == "":
		return s, invalid("ids", "want identifiers here or NAME=VALUE in label")
	case len(b.IDs) > 0 && b.Label != "":
		return s, invalid("label", "can't be used together with ids")
	case len(b.IDs) > maxCancel:
		return s, invalid("ids", "%d identifiers are over the limit of %d", len(b.IDs), maxCancel)
	}
	s.IDs = b.IDs
	if b.Label != "" {
		s.Label, s.Value, err = labelOf(b.Label)
	}
	return s, err
}

func (h TaskAPI) cancel(w http.ResponseWriter, r *http.Request, caller string) {
	body, free, err := h.bodies.read(w, r, caller, maxDocument)
	if err != nil {
		refuse(w, err, "")
		return
	}
	defer free()
	named, err := decode[cancelBody](body)
	var s Selection
	if err == nil {
		s, err = named.selection()
	}
	if err != nil {
		refuse(w, err, "")
		return
	}
	h.cancelAll(w, r, caller, s, "")
}

func (h TaskAPI) delete(kind hv.Kind) handler {
	return func(w http.ResponseWriter, r *http.Request, caller string) {
		id := r.PathValue("id")
		if _, err := h.Jobs.Get(r.Context(), caller, kind, id); err != nil {
			writeError(w, err, id)
			return
		}
		h.cancelAll(w, r, caller, Selection{IDs: []string{id}}, id)
	}
}

func (h TaskAPI) cancelAll(w http.ResponseWriter, r *http.Request, caller string, s Selection, id string) {
	n, err := h.Jobs.Cancel(r.Context(), caller, s)
	if err != nil {
		writeError(w, err, id)
		return
	}
	writeJSON(w, http.StatusAccepted, map[string]int{"canceled": n})
}
