package hvstream

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// maxRecordBytes bounds the body of a request.
const maxRecordBytes = 8 << 20

// Handler serves the protocol of the log service, PUT /faults to switch failures
// on and off, and GET /stats with the numbers of appends and dropped responses.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{name}", s.withFaults(s.serveAppend))
	mux.HandleFunc("GET /streams/{name}", s.withFaults(s.serveRead))
	mux.HandleFunc("PUT /faults", s.serveFaults)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, map[string]int64{"appends": s.Appends(), "lost": s.DroppedResponses()})
	})
	return mux
}

func (s *Store) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := s.Faults()
		if f.Delay > 0 {
			sleep(r.Context(), f.Delay.Std())
		}
		if f.Unavailable {
			http.Error(w, "log service is down", http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	var rec hv.Record
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRecordBytes)).Decode(&rec); err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	off, dropResponse := s.Append(r.PathValue("name"), rec)
	if dropResponse {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, map[string]hv.Offset{"offset": off})
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil || from < 0 {
		http.Error(w, "from: want a number that is not negative", http.StatusBadRequest)
		return
	}
	limit, err := strconv.Atoi(query.Get("max"))
	if err != nil || limit < 1 {
		http.Error(w, "max: want a positive number", http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(query.Get("wait"))
	if err != nil || wait < 0 {
		http.Error(w, "wait: want a number of milliseconds", http.StatusBadRequest)
		return
	}
	page, expired, appended := s.Read(r.PathValue("name"), hv.Offset(from), limit)
	if expired {
		writeJSON(w, http.StatusGone, page)
		return
	}
	if len(page.Records) == 0 && wait > 0 {
		waitFor(r.Context(), appended, min(maxReadWait, time.Duration(wait)*time.Millisecond))
		if s.Faults().Unavailable {
			http.Error(w, "log service is down", http.StatusServiceUnavailable)
			return
		}
		page, _, _ = s.Read(r.PathValue("name"), hv.Offset(from), limit)
	}
	writeJSON(w, http.StatusOK, page)
}

func (s *Store) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRecordBytes)).Decode(&f); err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	writeJSON(w, http.StatusOK, f)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error here means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

func waitFor(ctx context.Context, c <-chan struct{}, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	select {
	case <-c:
	case <-ctx.Done():
	}
}

func sleep(ctx context.Context, d time.Duration) { waitFor(ctx, nil, d) }
