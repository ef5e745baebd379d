package main

import (
	"bytes"
	"context"
	"encoding/json"
	"reflect"

	"hibiscusvane.example/hibiscusvane/hvhttp"
)

// settings reads the settings in effect at a gate.
func (c *client) settings(ctx context.Context) (hvhttp.Settings, error) {
	var s hvhttp.Settings
	err := c.get(ctx, "/admin/settings", &s)
	return s, err
}

// equalFiles compares the decoded values, because a gate may change the
// whitespace and escapes of the JSON that passes through it.
func equalFiles(a, b map[string]json.RawMessage) bool {
	return reflect.DeepEqual(decodeValues(a), decodeValues(b))
}

func decodeValues(files map[string]json.RawMessage) map[string]any {
	out := map[string]any{}
	for name, data := range files {
		v, err := decodeValue(data)
		if err != nil {
			v = string(data)
		}
		out[name] = v
	}
	return out
}

func decodeValue(data []byte) (v any, err error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	return v, d.Decode(&v)
}
