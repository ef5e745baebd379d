package hvwire

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"
)

// rawMessage encodes and decodes itself without looking at its text, and counts that.
type rawMessage struct {
	text  string
	calls int
}

func (m *rawMessage) MarshalJSON() ([]byte, error) {
	m.calls++
	return []byte(m.text), nil
}

func (m *rawMessage) UnmarshalJSON(b []byte) error {
	m.calls++
	m.text = string(b)
	return nil
}

// Guards against a codec that checks and copies the text of each message again, which took
// a tenth of the processor time of a call: the text of this one fails any check.
func TestMessagesEncodeAndDecodeThemselves(t *testing.T) {
	var frame bytes.Buffer
	sent, received := &rawMessage{text: "not JSON"}, &rawMessage{}
	if err := (frameCodec{}).WriteObject(&frame, sent); err != nil {
		t.Fatal(err)
	}
	if err := (frameCodec{}).ReadObject(bufio.NewReader(&frame), received); err != nil {
		t.Fatal(err)
	}
	if received.text != sent.text || sent.calls != 1 || received.calls != 1 {
		t.Errorf("received %q after %d and %d calls, want %q after one each", received.text, sent.calls, received.calls, sent.text)
	}
}

// Guards against messages that are taken although their text is cut or followed by other
// text, now that only their type checks it.
func TestMalformedMessagesCloseConnection(t *testing.T) {
	for _, text := range []string{"", "null", "[]", `"m"`, `{"id":1,"method":"m"`, `{"id":1,"method":"m"}}`, `{"id":1,"method":"m"} {}`, `{"id":1,"method":"m","params":{]}`} {
		a, b := net.Pipe()
		mux := Mux{"m": func(context.Context, *Conn, json.RawMessage) (any, error) {
			t.Errorf("message %q is handled", text)
			return struct{}{}, nil
		}}
		server := NewConn(a, mux)
		go func() { _ = (frameCodec{}).WriteObject(b, &rawMessage{text: text}) }()
		select {
		case <-server.Done():
		case <-time.After(5 * time.Second):
			t.Errorf("connection stays open after message %q", text)
		}
		_ = server.Close()
		_ = b.Close()
	}
}
