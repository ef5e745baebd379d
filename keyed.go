package hibiscusvane

import (
	"context"
	"time"
)

// KeyedRecord is one record of a keyed topic. A record without a value deletes
// its key.
type KeyedRecord struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Offset int64  `json:"offset,omitempty"`
}

// Fence makes an append conditional.
type Fence struct {
	// Producer, Epoch and Sequence let the store refuse an append with an older
	// epoch and respond to a repeated append as to the first. None of them is sent
	// if Producer is empty.
	Producer string `json:"producer,omitempty"`
	Epoch    int64  `json:"epoch,omitempty"`
	Sequence int64  `json:"sequence,omitempty"`
	// ExpectedEnd is the offset at which the topic must end, or -1 for any.
	ExpectedEnd int64 `json:"at"`
}

// KeyedPage is the result of a read.
type KeyedPage struct {
	Records []KeyedRecord `json:"records,omitempty"`
	// Next is the offset to continue from.
	Next int64 `json:"next"`
	// End is the offset at which the topic ended when it was read.
	End int64 `json:"end,omitempty"`
}

type responseTimeoutKey struct{}

// WithResponseTimeout bounds how long a store may take to begin its response.
func WithResponseTimeout(ctx context.Context, d time.Duration) context.Context {
	return context.WithValue(ctx, responseTimeoutKey{}, d)
}

// ResponseTimeout returns the bound that ctx carries, or limit if that is shorter
// or ctx carries none.
func ResponseTimeout(ctx context.Context, limit time.Duration) time.Duration {
	if d, ok := ctx.Value(responseTimeoutKey{}).(time.Duration); ok {
		return min(d, limit)
	}
	return limit
}

type progressKey struct{}

// WithProgress makes a store call f whenever a part of the response to a call with this
// context arrives.
func WithProgress(ctx context.Context, f func()) context.Context {
	return context.WithValue(ctx, progressKey{}, f)
}

// Progress returns the function that ctx carries, or one that does nothing.
func Progress(ctx context.Context) func() {
	if f, ok := ctx.Value(progressKey{}).(func()); ok {
		return f
	}
	return func() {}
}

// KeyedStore keeps the newest record of each key without limit and all records
// for a limited time.
type KeyedStore interface {
	// Append adds all records atomically and returns the offset after them. Error
	// kinds: Conflict (fenced by a higher epoch, or the topic does not end at
	// ExpectedEnd), Unavailable (nothing was added) and Uncertain.
	Append(ctx context.Context, topic string, recs []KeyedRecord, f Fence) (int64, error)
	// Read returns records from an offset on and waits up to wait for the first
	// one. An error of kind Expired means that some of them have been removed;
	// Newest then returns the state.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (KeyedPage, error)
	// Newest returns the newest record of each key. Keys are read at different times: Next is
	// at or before the offset of the first record that may be missing, and all records that
	// were there when the last key was read are before End.
	Newest(ctx context.Context, topic string) (KeyedPage, error)
}
