package hibiscusvane

import (
	"context"
	"time"
)

// KeyedRecord is one record of a keyed topic. A record without a value drops
// its key.
type KeyedRecord struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Offset int64  `json:"offset,omitempty"`
}

// Fence makes an append conditional.
type Fence struct {
	// Producer, Epoch and Sequence let the store refuse an append of an older
	// epoch and answer a repeated one like the first. An empty Producer sends none
	// of them.
	Producer string `json:"producer,omitempty"`
	Epoch    int64  `json:"epoch,omitempty"`
	Sequence int64  `json:"sequence,omitempty"`
	// ExpectedEnd is the offset that the topic must end at, or -1.
	ExpectedEnd int64 `json:"at"`
}

// KeyedPage is the answer of a read.
type KeyedPage struct {
	Records []KeyedRecord `json:"records,omitempty"`
	// Next is the offset to continue from.
	Next int64 `json:"next"`
	// End is the end of the topic when it was read.
	End int64 `json:"end,omitempty"`
}

type answerWithin struct{}

// WithResponseTimeout bounds how long a store may take to begin its answer.
func WithResponseTimeout(ctx context.Context, d time.Duration) context.Context {
	return context.WithValue(ctx, answerWithin{}, d)
}

// ResponseTimeout returns the bound that a context carries, or fallback if that is
// shorter or there is none.
func ResponseTimeout(ctx context.Context, fallback time.Duration) time.Duration {
	if d, ok := ctx.Value(answerWithin{}).(time.Duration); ok {
		return min(d, fallback)
	}
	return fallback
}

// KeyedStore keeps the newest record of each key forever and all records for
// a limited time.
type KeyedStore interface {
	// Append adds records at once and returns the offset after them. Kinds of
	// errors: Conflict (fenced by a higher epoch, or the topic does not end at
	// At), Unavailable (nothing was added), Uncertain.
	Append(ctx context.Context, topic string, recs []KeyedRecord, f Fence) (int64, error)
	// Read returns records from an offset on and waits up to wait for the
	// first. An error of kind Expired means that some are gone; Newest then
	// has the state.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (KeyedPage, error)
	// Newest returns the newest record of each key. Next lies at or before the
	// first record that may be missing.
	Newest(ctx context.Context, topic string) (KeyedPage, error)
}
