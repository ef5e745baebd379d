// Package hvload sends a given number of requests and jobs to gates and counts
// their outcomes. It is the caller in the demo and in process tests.
package hvload

import (
	"context"
	"net/http"
	"sync"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// Config describes a load.
type Config struct {
	// Gates are the base URLs of the gates. A caller that cannot reach one tries
	// the next, as a load balancer does.
	Gates []string
	// Upstreams are the base URLs of the fake upstreams, which count runs.
	Upstreams []string
	// Workers are the base URLs of the fake workers, which record starts.
	Workers []string
	Token   string
	Service string
	// Classes holds the number of requests for each class.
	Classes map[hv.Class]int
	// Interval is the time between two requests of one class.
	Interval time.Duration
	Deadline time.Duration
	// MaxTries bounds how often a caller sends one request; 0 means 6.
	MaxTries int
	Jobs     int
	// JobDuration is how long a job runs.
	JobDuration time.Duration
	// JobTimeout is the deadline of the jobs and how long to wait for their end.
	JobTimeout time.Duration
}

// Loader sends a load.
type Loader struct {
	conf   Config
	client *http.Client

	mu   sync.Mutex
	rows map[string]*Row
	sent []sentRequest
}

// sentRequest is a request whose runs at the upstreams are counted at the end.
type sentRequest struct {
	row     string
	key     string
	outcome hv.Outcome
}

// New returns a loader.
func New(conf Config) *Loader {
	transport := &http.Transport{MaxIdleConnsPerHost: maxConnections, MaxConnsPerHost: maxConnections}
	if conf.MaxTries == 0 {
		conf.MaxTries = defaultMaxTries
	}
	return &Loader{conf: conf, client: &http.Client{Transport: transport}, rows: map[string]*Row{}}
}

// maxConnections bounds the connections to one host and port.
const maxConnections = 64

// Run sends the load and returns the table of outcomes.
func (l *Loader) Run(ctx context.Context) (Table, error) {
	var wg sync.WaitGroup
	for _, c := range hv.Classes {
		wg.Go(func() { l.sendClass(ctx, c, l.conf.Classes[c]) })
	}
	wg.Go(func() { l.runJobs(ctx) })
	wg.Wait()
	if err := l.countRuns(ctx); err != nil {
		return Table{}, err
	}
	if err := l.countOverlaps(ctx); err != nil {
		return Table{}, err
	}
	return l.table(), nil
}

func (l *Loader) sendClass(ctx context.Context, c hv.Class, n int) {
	var wg sync.WaitGroup
	tick := time.NewTicker(l.conf.Interval)
	defer tick.Stop()
	for i := range n {
		select {
		case <-ctx.Done():
			l.update(string(c), func(r *Row) { r.Lost += n - i })
			wg.Wait()
			return
		case <-tick.C:
		}
		wg.Go(func() { l.sendRequest(ctx, c, i) })
	}
	wg.Wait()
}

func (l *Loader) update(row string, change func(*Row)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.rows[row]
	if r == nil {
		r = &Row{Name: row}
		l.rows[row] = r
	}
	change(r)
}
