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

const jobRow = "job"

// runJobs submits all jobs and waits until each has ended.
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

func (l *Loader) runJob(ctx context.Context, task hv.Task, number int) {
	start := time.Now()
	body, err := json.Marshal(task)
	if err != nil {
		l.update(jobRow, func(r *Row) { r.Lost++ })
		return
	}
	end := start.Add(l.conf.JobTimeout)
	if !l.submit(ctx, body, number, end) {
		l.update(jobRow, func(r *Row) { r.count(hv.NotRun, time.Since(start)) })
		return
	}
	state := l.await(ctx, task.ID, number, end)
	l.update(jobRow, func(r *Row) {
		switch state {
		case "done":
			r.count(hv.Done, time.Since(start))
		case "unknown":
			r.count(hv.Unknown, time.Since(start))
		default:
			r.Lost++
		}
	})
}

// submit repeats the submission under the same identifier until it is
// accepted.
func (l *Loader) submit(ctx context.Context, body []byte, number int, end time.Time) bool {
	for try := 0; time.Now().Before(end) && ctx.Err() == nil; try++ {
		gate := l.conf.Gates[(number+try)%len(l.conf.Gates)]
		status, _, err := l.do(ctx, http.MethodPost, gate+"/v1/jobs", body)
		if err == nil && status/100 == 2 {
			return true
		}
		time.Sleep(retryPause)
	}
	return false
}

func (l *Loader) await(ctx context.Context, id string, number int, end time.Time) string {
	state := ""
	for try := 0; time.Now().Before(end) && ctx.Err() == nil; try++ {
		gate := l.conf.Gates[(number+try)%len(l.conf.Gates)]
		status, answer, err := l.do(ctx, http.MethodGet, gate+"/v1/jobs/"+id+"?wait=1s", nil)
		var job struct {
			State string `json:"state"`
		}
		if err == nil && status == http.StatusOK && json.Unmarshal(answer, &job) == nil {
			state = job.State
		}
		switch state {
		case "done", "failed", "canceled", "impossible", "unknown":
			return state
		}
		time.Sleep(retryPause)
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
	answer, err := io.ReadAll(io.LimitReader(res.Body, 16<<20))
	return res.StatusCode, answer, err
}
