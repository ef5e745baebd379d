package hvledger

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	hv "hibiscusvane.example/hibiscusvane"
)

// gzipHeader begins a compressed value. JSON never begins with it.
var gzipHeader = []byte{0x1f, 0x8b}

// maxDecodedBytes bounds a decompressed value.
const maxDecodedBytes = 64 << 20

// compress returns a record with a compressed value.
func compress(rec hv.KeyedRecord) hv.KeyedRecord {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	// Writes to a buffer do not fail.
	_, _ = w.Write(rec.Value)
	_ = w.Close()
	rec.Value = b.Bytes()
	return rec
}

// decompress returns a value as it was before it was compressed, if it was.
func decompress(value []byte) ([]byte, error) {
	if !bytes.HasPrefix(value, gzipHeader) {
		return value, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, &Error{Op: "decompress", Kind: hv.Invalid, Err: err}
	}
	b, err := io.ReadAll(io.LimitReader(r, maxDecodedBytes))
	if err != nil {
		return nil, &Error{Op: "decompress", Kind: hv.Invalid, Err: err}
	}
	return b, nil
}

// decode decodes a value that may be compressed.
func decode(value []byte, v any) error {
	b, err := decompress(value)
	if err != nil {
		return err
	}
	return json.Unmarshal(b, v)
}
