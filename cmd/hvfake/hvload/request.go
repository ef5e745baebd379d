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
	defaultTries = 6
	retryPause   = 300 * time.Millisecond
)

// sendOne sends one non-idempotent request under a key of its own and repeats
// it under the same key until it is done.
func (l *Loader) sendOne(ctx context.Context, c hv.Class, number int) {
	key := uuid.Must(uuid.NewV7()).String()
	start := time.Now()
	outcome := hv.Outcome("")
	for try := range l.conf.MaxTries {
		gate := l.conf.Gates[(number+try)%len(l.conf.Gates)]
		got, ok := l.call(ctx, gate, c, key)
		if ok && (outcome != hv.Unknown || got == hv.Done) {
			// An earlier unknown stays unknown until an answer proves more.
			outcome = got
		}
		if !ok && outcome == "" {
			outcome = hv.Unknown
		}
		if outcome == hv.Done || ctx.Err() != nil || try+1 == l.conf.MaxTries {
			break
		}
		time.Sleep(retryPause)
	}
	took := time.Since(start)
	l.mu.Lock()
	l.sent = append(l.sent, sent{row: string(c), key: key, outcome: outcome})
	l.mu.Unlock()
	l.update(string(c), func(r *Row) { r.count(outcome, took) })
}

// call sends a request to one gate. It reports false if no outcome came back.
func (l *Loader) call(ctx context.Context, gate string, c hv.Class, key string) (hv.Outcome, bool) {
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
	answer, err := io.ReadAll(io.LimitReader(res.Body, 1<<20))
	outcome := hv.Outcome(res.Header.Get("Hv-Outcome"))
	if err != nil || outcome == "" {
		return "", false
	}
	if outcome == hv.Done && !strings.Contains(string(answer), key) {
		l.update(string(c), func(r *Row) { r.Misdelivered++ })
	}
	return outcome, true
}
