package hvlogger

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockableWriter is a log output that blocks while the test holds mu.
type blockableWriter struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (w *blockableWriter) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.b.Write(b)
}

// Guards against requests that block on a full log pipe, and against dropped
// lines that are not reported.
func TestQueueNeverBlocks(t *testing.T) {
	w := &blockableWriter{}
	w.mu.Lock()
	q := NewQueue(w)
	began := time.Now()
	for range 2 * queueCapacity {
		if _, err := q.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(began); took > 500*time.Millisecond {
		t.Errorf("writing to a full queue took %v", took)
	}
	w.mu.Unlock()
	time.Sleep(dropReportInterval + 100*time.Millisecond)
	_, _ = q.Write([]byte("last\n"))
	q.Flush(time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !strings.Contains(w.b.String(), "log lines dropped, the queue was full") {
		t.Error("the dropped lines are not reported in the log")
	}
}

// Guards against losing the last log lines when the process exits.
func TestFlushWritesQueuedLines(t *testing.T) {
	w := &blockableWriter{}
	q := NewQueue(w)
	for range 100 {
		_, _ = q.Write([]byte("line\n"))
	}
	q.Flush(time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	if n := strings.Count(w.b.String(), "line\n"); n != 100 {
		t.Fatalf("%d lines, want 100", n)
	}
}
