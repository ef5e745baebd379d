package main

import (
	"context"
	"fmt"
	"io"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvhttp"
)

// readInterval is the time between two reads of the settings.
const readInterval = 500 * time.Millisecond

// settle determines the outcome of a publication whose response was uncertain.
type settle struct {
	client      *client
	maxReads    int
	publication hvhttp.Publication
}

func newSettle(cl *client, timeout time.Duration, publication hvhttp.Publication) *settle {
	return &settle{client: cl, maxReads: 1 + int(timeout/readInterval), publication: publication}
}

// do reads the settings until their version is above the base or maxReads is
// reached. Versions only increase, so a version above the base decides the
// outcome.
func (s *settle) do(ctx context.Context, out io.Writer, cause error) error {
	var current hvhttp.Settings
	var err error
	for i := range s.maxReads {
		if i > 0 {
			sleep(ctx, readInterval)
		}
		if current, err = s.client.settings(ctx); err == nil && current.Version > s.publication.Base {
			return s.reportOutcome(out, current, cause)
		}
	}
	if err != nil {
		return errorf("outcome unknown", hv.Uncertain,
			"%v; the settings can't be read either (%v); the publication may be in force or come into force", cause, err)
	}
	return errorf("outcome unknown", hv.Uncertain,
		"%v; version %d is in force at the gate; the publication may still come into force; "+
			"repeating with --base %d puts the folder in force at most once", cause, current.Version, s.publication.Base)
}

func (s *settle) reportOutcome(out io.Writer, current hvhttp.Settings, cause error) error {
	if equalFiles(current.Files, s.publication.Files) {
		fmt.Fprintf(out, "%d\n", current.Version)
		fmt.Fprintf(out, "the response was uncertain, but version %d by %q is in force and holds exactly this folder\n", current.Version, current.Author)
		return nil
	}
	return errorf("not in force", hv.Conflict,
		"%v; version %d by %q is in force with other settings; the publication can't come into force any more, "+
			"but may have been in force before that version", cause, current.Version, current.Author)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
