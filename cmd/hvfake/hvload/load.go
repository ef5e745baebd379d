// Package hvload sends a bounded load to gates and counts how every request
// and job ended. It is the caller of the demo and of process tests.
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
	// Gates are the base URLs of the gates. A caller that cannot reach one
	// tries the next, as behind a balancer.
	Gates []string
	// Upstreams are the base URLs of the stand-in upstreams, which count runs.
	Upstreams []string
	// Workers are the base URLs of the stand-in workers, which record starts.
	Workers []string
	Token   string
	Service string
	// Classes holds the number of requests for each class.
	Classes map[hv.Class]int
	// Interval is the time between two requests of a class.
	Interval    time.Duration
	Deadline time.Duration
	// MaxTries bounds how often a caller sends one request; 0 stands for 6.
	MaxTries int
	Jobs  int
	// JobDuration is how long a job runs.
	JobDuration time.Duration
	// JobTimeout is how long to wait for the end of the jobs.
	JobTimeout time.Duration
}

// Loader sends a load.
type Loader struct {
	conf   Config
	client *http.Client

	mu   sync.Mutex
	rows map[string]*Row
	sent []sent
}

// sent is one request whose runs are counted at the end.
type sent struct {
	row     string
	key     string
	outcome hv.Outcome
}

// New returns a loader.
func New(conf Config) *Loader {
	transport := &http.Transport{MaxIdleConnsPerHost: maxConnections, MaxConnsPerHost: maxConnections}
	if conf.MaxTries == 0 {
		conf.MaxTries = defaultTries
	}
	return &Loader{conf: conf, client: &http.Client{Transport: transport}, rows: map[string]*Row{}}
}

// maxConnections bounds the connections to one gate.
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
		wg.Go(func() { l.sendOne(ctx, c, i) })
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
