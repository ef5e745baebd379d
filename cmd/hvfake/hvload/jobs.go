package hvload

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

const jobRowName = "job"

// runJobs submits all jobs and waits until each has ended or JobTimeout is over.
func (l *Loader) runJobs(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range l.conf.Jobs {
		task := hv.Task{
			ID: fmt.Sprintf("report-%d-%d", time.Now().UnixMilli(), i), Kind: hv.Job, Program: "sleep",
			Args:    []string{l.conf.JobDuration.String()},
			Need:    hv.Resources{Processors: 500, Memory: 100 * hv.MB},
			Runtime: hv.Duration(l.conf.JobDuration), Deadline: time.Now().Add(l.conf.JobTimeout),
		}
		wg.Go(func() { l.runJob(ctx, task, i) })
	}
	wg.Wait()
}

func (l *Loader) runJob(ctx context.Context, task hv.Task, index int) {
	start := time.Now()
	body, err := json.Marshal(task)
	if err != nil {
		l.update(jobRowName, func(r *Row) { r.Lost++ })
		return
	}
	deadline := start.Add(l.conf.JobTimeout)
	if !l.submitJob(ctx, body, index, deadline) {
		l.update(jobRowName, func(r *Row) { r.countOutcome(hv.NotRun, time.Since(start)) })
		return
	}
	state := l.awaitJob(ctx, task.ID, index, deadline)
	l.update(jobRowName, func(r *Row) {
		switch state {
		case "done":
			r.countOutcome(hv.Done, time.Since(start))
		case "unknown":
			r.countOutcome(hv.Unknown, time.Since(start))
		default:
			r.Lost++
		}
	})
}

// submitJob repeats the submission under the same identifier until it is
// accepted.
func (l *Loader) submitJob(ctx context.Context, body []byte, index int, deadline time.Time) bool {
	for try := 0; time.Now().Before(deadline) && ctx.Err() == nil; try++ {
		gate := l.conf.Gates[(index+try)%len(l.conf.Gates)]
		status, _, err := l.do(ctx, http.MethodPost, gate+"/v1/jobs", body)
		if err == nil && status/100 == 2 {
			return true
		}
		time.Sleep(retryInterval)
	}
	return false
}

func (l *Loader) awaitJob(ctx context.Context, id string, index int, deadline time.Time) string {
	state := ""
	for try := 0; time.Now().Before(deadline) && ctx.Err() == nil; try++ {
		gate := l.conf.Gates[(index+try)%len(l.conf.Gates)]
		status, body, err := l.do(ctx, http.MethodGet, gate+"/v1/jobs/"+id+"?wait=1s", nil)
		var job struct {
			State string `json:"state"`
		}
		if err == nil && status == http.StatusOK && json.Unmarshal(body, &job) == nil {
			state = job.State
		}
		switch state {
		case "done", "failed", "canceled", "impossible", "unknown":
			return state
		}
		time.Sleep(retryInterval)
	}
	return state
}

func (l *Loader) do(ctx context.Context, method, url string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	if l.conf.Token != "" {
		r.Header.Set("Authorization", "Bearer "+l.conf.Token)
	}
	res, err := l.client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	response, err := io.ReadAll(io.LimitReader(res.Body, 16<<20))
	return res.StatusCode, response, err
}
