package hvload

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvworker/hvworkertest"
)

// Row counts the outcomes of one class.
type Row struct {
	Name    string
	Done    int
	NotRun  int
	Unknown int
	// Duplicates counts the runs of a key after its first one, and overlapping
	// attempts of a task.
	Duplicates int
	// Lost counts requests without outcome, requests reported as done that no
	// upstream ran, and accepted jobs that ended neither as done nor as unknown.
	Lost int
	// FalseNotRun counts requests reported as not run that an upstream ran.
	FalseNotRun int
	// Misdelivered counts responses that belong to another request.
	Misdelivered int
	// Notes describe overlapping attempts.
	Notes     []string
	durations []time.Duration
}

func (r *Row) countOutcome(o hv.Outcome, elapsed time.Duration) {
	switch o {
	case hv.Done:
		r.Done++
		r.durations = append(r.durations, elapsed)
	case hv.NotRun:
		r.NotRun++
	case hv.Unknown:
		r.Unknown++
	default:
		r.Lost++
	}
}

func (r *Row) quantile(q float64) time.Duration {
	if len(r.durations) == 0 {
		return 0
	}
	return quantile(r.durations, q)
}

// Table holds the rows in the order of their names.
type Table struct{ Rows []Row }

// Clean reports whether nothing was duplicated, lost, falsely reported as not run
// or given the response to another request.
func (t Table) Clean() bool {
	for _, r := range t.Rows {
		if r.Duplicates+r.Lost+r.FalseNotRun+r.Misdelivered > 0 {
			return false
		}
	}
	return true
}

// Write prints the table.
func (t Table) Write(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "class\tdone\tnot-run\tunknown\tp50\tp99\tdoubled\tlost\tfalse\tforeign")
	for _, r := range t.Rows {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%s\t%s\t%d\t%d\t%d\t%d\n", r.Name, r.Done, r.NotRun, r.Unknown,
			r.quantile(0.5).Round(time.Millisecond), r.quantile(0.99).Round(time.Millisecond),
			r.Duplicates, r.Lost, r.FalseNotRun, r.Misdelivered)
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	for _, r := range t.Rows {
		for _, n := range r.Notes {
			fmt.Fprintf(w, "%s: %s\n", r.Name, n)
		}
	}
	return nil
}

func (l *Loader) table() Table {
	l.mu.Lock()
	defer l.mu.Unlock()
	var t Table
	for _, r := range l.rows {
		t.Rows = append(t.Rows, *r)
	}
	slices.SortFunc(t.Rows, func(a, b Row) int { return strings.Compare(a.Name, b.Name) })
	return t
}

// countRuns compares the outcomes with the runs that the upstreams counted.
func (l *Loader) countRuns(ctx context.Context) error {
	runs := map[string]int{}
	for _, u := range l.conf.Upstreams {
		var counts map[string]int
		if err := l.get(ctx, u+"/runs", &counts); err != nil {
			return err
		}
		for key, n := range counts {
			runs[key] += n
		}
	}
	for _, s := range l.sent {
		n := runs[s.key]
		l.update(s.row, func(r *Row) {
			r.Duplicates += max(0, n-1)
			if s.outcome == hv.Done && n == 0 {
				r.Lost++
			}
			if s.outcome == hv.NotRun && n > 0 {
				r.FalseNotRun++
			}
		})
	}
	return nil
}

// countOverlaps looks for tasks whose attempts overlapped in time.
func (l *Loader) countOverlaps(ctx context.Context) error {
	var histories [][]hvworkertest.Interval
	for _, w := range l.conf.Workers {
		var history []hvworkertest.Interval
		if err := l.get(ctx, w+"/history", &history); err != nil {
			return err
		}
		histories = append(histories, history)
	}
	for _, overlap := range hvworkertest.Overlaps(histories...) {
		l.update(jobRowName, func(r *Row) {
			r.Duplicates++
			r.Notes = append(r.Notes, overlap)
		})
	}
	return nil
}

func (l *Loader) get(ctx context.Context, url string, v any) error {
	status, body, err := l.do(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, url)
	}
	if status != http.StatusOK {
		return errors.Errorf("%s: status %d", url, status)
	}
	return errors.Wrap(json.Unmarshal(body, v), url)
}
