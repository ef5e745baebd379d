package hvhttp

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	hv "hibiscusvane.example/hibiscusvane"
)

const (
	// MaxBodySize bounds the body of a request to an upstream, in bytes.
	MaxBodySize = 1 << 20
	// maxDocument bounds a task, in bytes.
	maxDocument = 64 << 10
	// maxSettings bounds a publication, in bytes.
	maxSettings = 4 << 20
	// bodyMemory bounds the memory of all bodies of requests, documentMemory
	// that of tasks and of publications, in bytes.
	bodyMemory     = 256 << 20
	documentMemory = 32 << 20
	// callerPart is the part of the memory that one caller may take, so that
	// slow bodies of one caller can't shut out the others.
	callerPart = 4
	// bodyTimeout bounds the time in which a body must arrive, and the time in
	// which an answer must be taken.
	bodyTimeout = 10 * time.Second
)

// bodies accounts for the memory of bodies.
type bodies struct {
	mu      sync.Mutex
	total   int64
	used    int64
	callers map[string]int64
}

func newBodies(total int64) *bodies { return &bodies{total: total, callers: map[string]int64{}} }

// take reserves memory, or returns an error of kind Full.
func (b *bodies) take(caller string, n int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.used+n > b.total:
		return &Error{Op: "read", Kind: hv.Full, Err: errors.New("the gate holds too many bodies")}
	case b.callers[caller]+n > b.total/callerPart:
		return &Error{Op: "read", Kind: hv.Full, Err: errors.Errorf("caller %s has too many bodies under way", caller)}
	}
	b.used += n
	b.callers[caller] += n
	return nil
}

func (b *bodies) give(caller string, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	if b.callers[caller] -= n; b.callers[caller] == 0 {
		delete(b.callers, caller)
	}
}

// read reserves memory for a body and reads it. Free must be called when the
// body is no longer used.
func (b *bodies) read(w http.ResponseWriter, r *http.Request, caller string, limit int64) (body []byte, free func(), err error) {
	size := r.ContentLength
	switch {
	case size > limit:
		return nil, nil, &Error{Op: "read", Kind: hv.Invalid, Field: "body", Err: errors.Wrapf(&http.MaxBytesError{Limit: limit}, "%d bytes are over the limit of %d", size, limit)}
	case size < 0:
		size = limit
	}
	if err := b.take(caller, size); err != nil {
		return nil, nil, err
	}
	free = func() { b.give(caller, size) }
	// Not every writer has deadlines; those of the server do.
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		free()
		return nil, nil, &Error{Op: "read", Kind: hv.Invalid, Field: "body", Err: err}
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, free, nil
}

// decode reads a JSON object strictly and names the member at fault.
func decode[T any](body []byte) (T, error) {
	v, err := strict[T](body)
	if err == nil {
		return v, nil
	}
	var members map[string]json.RawMessage
	if json.Unmarshal(body, &members) != nil {
		return v, invalid("body", "want a JSON object: %v", err)
	}
	for name, raw := range members {
		one, encodeErr := json.Marshal(map[string]json.RawMessage{name: raw})
		if encodeErr != nil {
			continue
		}
		if _, err := strict[T](one); err != nil {
			return v, invalid(name, "%s", reason(err))
		}
	}
	return v, invalid("body", "%s", reason(err))
}

func strict[T any](body []byte) (T, error) {
	var v T
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&v); err != nil {
		return v, err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return v, errors.New("there is text after the object")
	}
	return v, nil
}

// reason drops the prefixes of packages from an error of the decoder.
func reason(err error) string {
	return strings.TrimPrefix(strings.TrimPrefix(err.Error(), "json: "), "decode: ")
}
