package hvload

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	hv "hibiscusvane.example/hibiscusvane"
)

const (
	defaultMaxTries = 6
	retryInterval   = 300 * time.Millisecond
)

// sendRequest sends a non-idempotent request with a new idempotency key and
// repeats it with the same key until it is done or MaxTries is reached.
func (l *Loader) sendRequest(ctx context.Context, c hv.Class, index int) {
	key := uuid.Must(uuid.NewV7()).String()
	start := time.Now()
	outcome := hv.Outcome("")
	for try := range l.conf.MaxTries {
		gate := l.conf.Gates[(index+try)%len(l.conf.Gates)]
		latest, ok := l.sendTo(ctx, gate, c, key)
		if ok && (outcome != hv.Unknown || latest == hv.Done) {
			// After an unknown outcome the request may have run, so only done
			// replaces it.
			outcome = latest
		}
		if !ok && outcome == "" {
			outcome = hv.Unknown
		}
		if outcome == hv.Done || ctx.Err() != nil || try+1 == l.conf.MaxTries {
			break
		}
		time.Sleep(retryInterval)
	}
	elapsed := time.Since(start)
	l.mu.Lock()
	l.sent = append(l.sent, sentRequest{row: string(c), key: key, outcome: outcome})
	l.mu.Unlock()
	l.update(string(c), func(r *Row) { r.countOutcome(outcome, elapsed) })
}

// sendTo sends a request to one gate. It returns false if no outcome was received.
func (l *Loader) sendTo(ctx context.Context, gate string, c hv.Class, key string) (hv.Outcome, bool) {
	ctx, cancel := context.WithTimeout(ctx, l.conf.Deadline+time.Second)
	defer cancel()
	body := "print " + key
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, gate+"/v1/run/"+l.conf.Service+"/print", strings.NewReader(body))
	if err != nil {
		return "", false
	}
	r.Header.Set("Authorization", "Bearer "+l.conf.Token)
	r.Header.Set("Hv-Class", string(c))
	r.Header.Set("Hv-Deadline", l.conf.Deadline.String())
	r.Header.Set("Hv-Idempotent", "false")
	r.Header.Set("Idempotency-Key", key)
	res, err := l.client.Do(r)
	if err != nil {
		return "", false
	}
	defer res.Body.Close()
	response, err := io.ReadAll(io.LimitReader(res.Body, 1<<20))
	outcome := hv.Outcome(res.Header.Get("Hv-Outcome"))
	if err != nil || outcome == "" {
		return "", false
	}
	if outcome == hv.Done && !strings.Contains(string(response), key) {
		l.update(string(c), func(r *Row) { r.Misdelivered++ })
	}
	return outcome, true
}
