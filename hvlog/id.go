package hvlog

import (
	"strconv"
	"strings"

	hv "hibiscusvane.example/hibiscusvane"
)

// FirstOffset is the offset of the first record of every stream. It is not 0,
// so that a settings version of 0 can stand for "none".
const FirstOffset hv.Offset = 1

// FormatID returns the identifier of a writer's record.
func FormatID(writer string, sequence int64) string {
	return writer + "/" + strconv.FormatInt(sequence, 10)
}

// ParseID splits the identifier of a record into its writer and sequence number.
// It reports false for an identifier that is not of the form WRITER/SEQUENCE.
func ParseID(id string) (writer string, sequence int64, ok bool) {
	i := strings.LastIndexByte(id, '/')
	if i <= 0 {
		return "", 0, false
	}
	sequence, err := strconv.ParseInt(id[i+1:], 10, 64)
	return id[:i], sequence, err == nil && sequence > 0
}
