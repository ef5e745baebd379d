package hvledger

import (
	hv "hibiscusvane.example/hibiscusvane"
)

// Limits bounds what the store accepts. The zero value has the defaults.
type Limits struct {
	// RecordBytes bounds a record with its key, and CallBytes all records of an append.
	RecordBytes, CallBytes int
}

const (
	// maxValueBytes bounds a value in any case: readers fetch pages of 256 KiB, which must
	// hold a record.
	maxValueBytes      = 240 << 10
	defaultRecordBytes = 256 << 10
	defaultCallBytes   = 2 << 20
	// keyLengthBytes is the size of the length of a key, which counts as a part of the
	// record, and recordLengthBytes that of the length of a record.
	keyLengthBytes, recordLengthBytes = 1, 4
	// maxAppendBytes bounds an append, as far as its records can be divided: a large one
	// takes longer than the time that is allowed for a call over a slow link.
	maxAppendBytes = 512 << 10
	// claimBytes is left in each append for the claim, which the writer may add.
	claimBytes = 1 << 10
)

func (l Limits) recordBytes() int {
	if l.RecordBytes <= 0 {
		return defaultRecordBytes
	}
	return l.RecordBytes
}

func (l Limits) callBytes() int {
	if l.CallBytes <= 0 {
		return defaultCallBytes
	}
	return l.CallBytes
}

// valueBytes returns the limit of the value of a record with a key.
func (l Limits) valueBytes(key string) int {
	return min(min(l.recordBytes(), l.callBytes()-claimBytes)-keyLengthBytes-len(key), maxValueBytes)
}

func (l Limits) fits(rec hv.KeyedRecord) bool { return len(rec.Value) <= l.valueBytes(rec.Key) }

// FitsAppend reports whether the store accepts records in one append.
func (l Limits) FitsAppend(lists ...[]hv.KeyedRecord) bool {
	size := claimBytes
	for _, recs := range lists {
		for _, rec := range recs {
			size += recordSize(rec)
		}
	}
	return size <= l.callBytes()
}

func recordSize(rec hv.KeyedRecord) int {
	return recordLengthBytes + keyLengthBytes + len(rec.Key) + len(rec.Value)
}

// Split divides records, in order, into appends that the store accepts. A record over the
// limit gets an append of its own.
func (l Limits) Split(recs []hv.KeyedRecord) [][]hv.KeyedRecord {
	limit := min(l.callBytes(), maxAppendBytes) - claimBytes
	var out [][]hv.KeyedRecord
	first, size := 0, 0
	for i, rec := range recs {
		n := recordSize(rec)
		if i > first && size+n > limit {
			out = append(out, recs[first:i])
			first, size = i, 0
		}
		size += n
	}
	if first < len(recs) {
		out = append(out, recs[first:])
	}
	return out
}
