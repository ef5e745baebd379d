package main

import (
	"bytes"
	"context"
	"encoding/json"
	"reflect"

	"hibiscusvane.example/hibiscusvane/hvhttp"
)

// settings reads the settings in force at a gate.
func (c *client) settings(ctx context.Context) (hvhttp.Settings, error) {
	var s hvhttp.Settings
	err := c.get(ctx, "/admin/settings", &s)
	return s, err
}

// sameFiles compares by value, as JSON on its way through a gate may change
// its spaces and escapes.
func sameFiles(a, b map[string]json.RawMessage) bool {
	return reflect.DeepEqual(values(a), values(b))
}

func values(files map[string]json.RawMessage) map[string]any {
	out := map[string]any{}
	for name, data := range files {
		v, err := value(data)
		if err != nil {
			v = string(data)
		}
		out[name] = v
	}
	return out
}

func value(data []byte) (v any, err error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	return v, d.Decode(&v)
}
