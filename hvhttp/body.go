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
	// MaxBodySize is the maximum size of the body of a request to an upstream, in
	// bytes.
	MaxBodySize = 1 << 20
	// maxTaskSize is the maximum size of a task or cancellation, in bytes.
	maxTaskSize = 64 << 10
	// maxPublicationSize is the maximum size of a publication, in bytes.
	maxPublicationSize = 4 << 20
	// bodyMemory is the memory for the bodies of all requests to upstreams, and
	// documentMemory that for tasks and that for publications, in bytes.
	bodyMemory     = 256 << 20
	documentMemory = 32 << 20
	// callerDivisor limits each caller to 1/callerDivisor of the memory, so that
	// slow bodies of one caller cannot block the others.
	callerDivisor = 4
	// bodyTimeout bounds the time to receive a request body, and the time to send a
	// response.
	bodyTimeout = 10 * time.Second
)

// bodyBudget tracks and limits the memory for request bodies.
type bodyBudget struct {
	mu      sync.Mutex
	total   int64
	used    int64
	callers map[string]int64
}

func newBodyBudget(total int64) *bodyBudget {
	return &bodyBudget{total: total, callers: map[string]int64{}}
}

// reserve reserves n bytes for a caller, or returns an error of kind Full.
func (b *bodyBudget) reserve(caller string, n int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.used+n > b.total:
		return &Error{Op: "read", Kind: hv.Full, Err: errors.New("the memory for request bodies is in use")}
	case b.callers[caller]+n > b.total/callerDivisor:
		return &Error{Op: "read", Kind: hv.Full, Err: errors.Errorf("caller %s uses its full share of the memory for request bodies", caller)}
	}
	b.used += n
	b.callers[caller] += n
	return nil
}

func (b *bodyBudget) release(caller string, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	if b.callers[caller] -= n; b.callers[caller] == 0 {
		delete(b.callers, caller)
	}
}

// read reserves memory for a body and reads it. The caller of read must call release
// when it no longer uses the body.
func (b *bodyBudget) read(w http.ResponseWriter, r *http.Request, caller string, limit int64) (body []byte, release func(), err error) {
	size := r.ContentLength
	switch {
	case size > limit:
		return nil, nil, &Error{Op: "read", Kind: hv.Invalid, Field: "body", Err: errors.Wrapf(&http.MaxBytesError{Limit: limit}, "%d bytes exceed the limit of %d", size, limit)}
	case size < 0:
		size = limit
	}
	if err := b.reserve(caller, size); err != nil {
		return nil, nil, err
	}
	release = func() { b.release(caller, size) }
	// Ignore errors: the ResponseWriters of net/http support deadlines, others
	// may not.
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		release()
		return nil, nil, &Error{Op: "read", Kind: hv.Invalid, Field: "body", Err: err}
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, release, nil
}

// decode decodes a JSON object and rejects unknown members. The error names the
// invalid member.
func decode[T any](body []byte) (T, error) {
	v, err := decodeStrict[T](body)
	if err == nil {
		return v, nil
	}
	var members map[string]json.RawMessage
	if json.Unmarshal(body, &members) != nil {
		return v, invalid("body", "want a JSON object: %v", err)
	}
	for name, raw := range members {
		member, encodeErr := json.Marshal(map[string]json.RawMessage{name: raw})
		if encodeErr != nil {
			continue
		}
		if _, err := decodeStrict[T](member); err != nil {
			return v, invalid(name, "%s", trimPrefixes(err))
		}
	}
	return v, invalid("body", "%s", trimPrefixes(err))
}

func decodeStrict[T any](body []byte) (T, error) {
	var v T
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&v); err != nil {
		return v, err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return v, errors.New("unexpected text after the object")
	}
	return v, nil
}

// trimPrefixes returns the text of a decoder error without package prefixes.
func trimPrefixes(err error) string {
	return strings.TrimPrefix(strings.TrimPrefix(err.Error(), "json: "), "decode: ")
}
