package main

import (
	"context"
	"fmt"
	"io"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvhttp"
)

// settlePause lies between two looks at the settings.
const settlePause = 500 * time.Millisecond

// settle finds out what became of a publication whose answer was uncertain.
type settle struct {
	client *client
	looks  int
	sent   hvhttp.Publication
}

func newSettle(cl *client, d time.Duration, sent hvhttp.Publication) *settle {
	return &settle{client: cl, looks: 1 + int(d/settlePause), sent: sent}
}

// do reads the settings until their version is above the base or the looks
// are used up. The base can't come back, so a higher version is final.
func (s *settle) do(ctx context.Context, out io.Writer, cause error) error {
	var now hvhttp.Settings
	var err error
	for i := range s.looks {
		if i > 0 {
			pause(ctx, settlePause)
		}
		if now, err = s.client.settings(ctx); err == nil && now.Version > s.sent.Base {
			return s.decided(out, now, cause)
		}
	}
	if err != nil {
		return errorf("outcome unknown", hv.Uncertain,
			"%v; the settings can't be read either (%v); the publication may be in force or come into force", cause, err)
	}
	return errorf("outcome unknown", hv.Uncertain,
		"%v; version %d is in force at the gate; the publication may still come into force; "+
			"repeating with --base %d puts the folder in force at most once", cause, now.Version, s.sent.Base)
}

func (s *settle) decided(out io.Writer, now hvhttp.Settings, cause error) error {
	if sameFiles(now.Files, s.sent.Files) {
		fmt.Fprintf(out, "%d\n", now.Version)
		fmt.Fprintf(out, "the answer was uncertain, but version %d by %q is in force and holds exactly this folder\n", now.Version, now.Author)
		return nil
	}
	return errorf("not in force", hv.Conflict,
		"%v; version %d by %q is in force with other settings; the publication can't come into force any more, "+
			"but may have been in force before that version", cause, now.Version, now.Author)
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
