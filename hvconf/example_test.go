package hvconf_test

import (
	"encoding/json"
	"fmt"

	"hibiscusvane.example/hibiscusvane/hvconf"
)

func ExampleCheck() {
	_, err := hvconf.Check(hvconf.Files{
		"10-limits.json": json.RawMessage(`{"limits": {"beat": 10}}`),
		"20-policy.json": json.RawMessage(`{"policy": {"favour": "latency"}}`),
	})
	fmt.Println(err)
	// Output:
	// settings check: 10-limits.json: limits.beat: want a duration such as "250ms", got 10
	// 20-policy.json: policy.favour: unknown field; want one of prefer
}
