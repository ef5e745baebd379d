package hvlogger

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueCapacity bounds the lines that wait to be written.
	queueCapacity = 2048
	// dropReportInterval separates lines that tell how many were dropped.
	dropReportInterval = time.Second
)

// Queue writes lines in the background. When the reader of the log is slow it
// drops lines and counts them; it never blocks the caller.
type Queue struct {
	lines   chan []byte
	flushes chan chan struct{}
	dropped atomic.Int64
	out     io.Writer
}

// NewQueue returns a queue that writes to out.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, queueCapacity), flushes: make(chan chan struct{}), out: out}
	go q.run()
	return q
}

// Write implements io.Writer.
func (q *Queue) Write(b []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), b...):
	default:
		q.dropped.Add(1)
	}
	return len(b), nil
}

// Flush writes what waits, for up to limit.
func (q *Queue) Flush(timeout time.Duration) {
	flushed := make(chan struct{})
	expired := time.After(timeout)
	select {
	case q.flushes <- flushed:
	case <-expired:
		return
	}
	select {
	case <-flushed:
	case <-expired:
	}
}

func (q *Queue) run() {
	reported := time.Now()
	for {
		select {
		case b := <-q.lines:
			q.write(b)
		case flushed := <-q.flushes:
			for len(q.lines) > 0 {
				q.write(<-q.lines)
			}
			close(flushed)
		}
		if time.Since(reported) > dropReportInterval && q.dropped.Load() > 0 {
			reported = time.Now()
			q.write(fmt.Appendf(nil, "part=log level=warn msg=\"lines were dropped\" lines=%d\n", q.dropped.Swap(0)))
		}
	}
}

// write ignores errors: nobody can be told that the log cannot be written.
func (q *Queue) write(b []byte) { _, _ = q.out.Write(b) }
