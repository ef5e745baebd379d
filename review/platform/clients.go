package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// call sends a request and returns the status, 0 if there is no answer.
func call(ctx context.Context, method, url string, body []byte, limit time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Host = "h.example"
	r.Header.Set("Deadline-Ms", "3000")
	r.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, b
}

// request sends a client's request to a gate.
func (b *bed) request(gate int, method, id string, body []byte) (int, string) {
	status, answer := call(context.Background(), method, "http://"+b.gates[gate].ip+":8161/q/"+id, body, 3*time.Second)
	var parsed struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(answer, &parsed)
	b.oracle.note("%s %s at %s: %d %s", method, id, b.gates[gate].name, status, parsed.State)
	return status, parsed.State
}

// submit hands a job in, with retries at other gates, and reports whether it was accepted.
func (b *bed) submit(j *job, first int) bool {
	body, _ := json.Marshal(j)
	o := b.oracle
	j.failures, j.done, j.noted = map[string]map[int]bool{}, map[string]bool{}, map[string]int{}
	o.mu.Lock()
	o.jobs[j.id] = j
	o.mu.Unlock()
	for try := range 5 {
		status, _ := b.request((first+try)%len(b.gates), http.MethodPost, j.id, body)
		o.mu.Lock()
		switch {
		case status >= 200 && status < 300:
			j.accepted, j.acceptedAt = true, time.Now()
		case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
			j.refused = true
		default:
			j.uncertain = true
		}
		accepted := j.accepted
		o.mu.Unlock()
		if accepted {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// cancelJob cancels a job, with retries.
func (b *bed) cancelJob(j *job, first int) {
	o := b.oracle
	o.mu.Lock()
	j.cancelSent = time.Now()
	o.mu.Unlock()
	for try := range 30 {
		status, _ := b.request((first+try)%len(b.gates), http.MethodDelete, j.id, nil)
		if status >= 200 && status < 300 || status == http.StatusGone {
			o.mu.Lock()
			j.cancelAcked = time.Now()
			o.mu.Unlock()
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// query asks for the state of an accepted job.
func (b *bed) query(j *job, gate int, calm bool) {
	status, state := b.request(gate, http.MethodGet, j.id, nil)
	o := b.oracle
	o.mu.Lock()
	defer o.mu.Unlock()
	if status == http.StatusGone && time.Since(j.acceptedAt) > 6*time.Second && calm {
		o.broke("LOST", "accepted job %s is answered 410", j.id)
	}
	if status != http.StatusOK {
		return
	}
	j.state = state
	switch state {
	case "complete":
		for i, s := range j.Steps {
			for k := range s.Count {
				for round := range j.rounds() {
					if id := (taskID{j.id, round, i, k}); !j.done[id.String()] {
						o.broke("MIXED", "job %s is shown as complete, %s is not done", j.id, id)
						return
					}
				}
			}
		}
	case "failed":
		if j.hopeless {
			return
		}
		most := 0
		for _, f := range j.failures {
			most = max(most, len(f))
		}
		if most < maxAttempts {
			o.broke("LOST", "job %s is shown as failed with %d failed runs", j.id, most)
		}
	case "cancelled":
		if j.cancelSent.IsZero() {
			o.broke("LOST", "job %s is shown as cancelled", j.id)
		}
	}
}
