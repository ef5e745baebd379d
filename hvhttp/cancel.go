package hvhttp

import (
	"net/http"

	hv "hibiscusvane.example/hibiscusvane"
)

// cancelRequest is the body of POST /v1/cancel.
type cancelRequest struct {
	IDs   []string `json:"ids"`
	Label string   `json:"label"`
}

// selection returns the selected tasks. It checks that either identifiers or a label
// are given.
func (r cancelRequest) selection() (s Selection, err error) {
	switch {
	case len(r.IDs) == 0 && r.Label == "":
		return s, invalid("ids", "want identifiers, or NAME=VALUE in label")
	case len(r.IDs) > 0 && r.Label != "":
		return s, invalid("label", "must not be combined with ids")
	case len(r.IDs) > maxCancel:
		return s, invalid("ids", "%d identifiers exceed the limit of %d", len(r.IDs), maxCancel)
	}
	s.IDs = r.IDs
	if r.Label != "" {
		s.Label, s.Value, err = parseLabel(r.Label)
	}
	return s, err
}

func (h TaskAPI) cancel(w http.ResponseWriter, r *http.Request, caller string) {
	body, release, err := h.bodies.read(w, r, caller, maxTaskSize)
	if err != nil {
		writeNotRun(w, err, "")
		return
	}
	defer release()
	request, err := decode[cancelRequest](body)
	var s Selection
	if err == nil {
		s, err = request.selection()
	}
	if err != nil {
		writeNotRun(w, err, "")
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
