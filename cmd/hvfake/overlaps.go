package main

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/pkg/errors"

	"hibiscusvane.example/hibiscusvane/hvworker/hvworkertest"
)

type overlapsCommand struct {
	Workers []string `long:"worker" env:"HV_FAKE_WORKERS" env-delim:"," required:"true" description:"Base URL of a fake worker (repeatable)"`
}

// Execute implements flags.Commander.
func (c *overlapsCommand) Execute([]string) error {
	var histories [][]hvworkertest.Interval
	runs := 0
	for _, w := range c.Workers {
		res, err := http.Get(w + "/history")
		if err != nil {
			return err
		}
		var history []hvworkertest.Interval
		err = json.NewDecoder(res.Body).Decode(&history)
		res.Body.Close()
		if err != nil {
			return errors.Wrap(err, w)
		}
		runs += len(history)
		histories = append(histories, history)
	}
	if found := hvworkertest.Overlaps(histories...); len(found) > 0 {
		return errors.Errorf("tasks with overlapping attempts: %v", found)
	}
	fmt.Printf("no overlaps in %d runs\n", runs)
	return nil
}
