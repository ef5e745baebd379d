package hvlogger

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueLines bounds the lines that wait to be written.
	queueLines = 2048
	// noteInterval separates lines that tell how many were dropped.
	noteInterval = time.Second
)

// Queue writes lines in the background. When the reader of the log is slow it
// drops lines and counts them; it never blocks the caller.
type Queue struct {
	lines   chan []byte
	dropped atomic.Int64
	out     io.Writer
}

// NewQueue returns a queue that writes to out.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, queueLines), out: out}
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

func (q *Queue) run() {
	noted := time.Now()
	for b := range q.lines {
		// Nobody can be told that the log cannot be written.
		_, _ = q.out.Write(b)
		if n := q.dropped.Load(); n > 0 && time.Since(noted) > noteInterval {
			q.dropped.Add(-n)
			noted = time.Now()
			_, _ = fmt.Fprintf(q.out, "part=log level=warn msg=\"lines were dropped\" lines=%d\n", n)
		}
	}
}
