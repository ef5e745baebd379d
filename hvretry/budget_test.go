package hvretry_test

import (
	"testing"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvretry"
)

// Guards against retries that multiply the load when every dispatch fails.
func TestAmplificationWhenEverythingFails(t *testing.T) {
	b := hvretry.New()
	const requests = 10_000
	dispatches := 0
	for range requests {
		b.Deposit("labels")
		resp := hv.Response{Outcome: hv.NotRun}
		for n := 1; ; n++ {
			dispatches++
			if !hvretry.Allowed(resp, n) || !b.TryWithdraw("labels") {
				break
			}
		}
	}
	if limit := requests * 11 / 10; dispatches > limit || dispatches < limit-hvretry.MaxAttempts {
		t.Errorf("%d dispatches for %d requests, want at most %d and nearly that many", dispatches, requests, limit)
	}
}

// Guards against running a request twice: a request with an unknown outcome must
// never be retried.
func TestOnlyNotRunIsRetried(t *testing.T) {
	for outcome, want := range map[hv.Outcome]bool{hv.NotRun: true, hv.Unknown: false, hv.Done: false} {
		if got := hvretry.Allowed(hv.Response{Outcome: outcome}, 1); got != want {
			t.Errorf("%s: retry allowed %v, want %v", outcome, got, want)
		}
	}
	rest := hvretry.Untried([]hv.UpstreamView{{Host: "a"}, {Host: "b"}}, []string{"a"})
	if len(rest) != 1 || rest[0].Host != "b" {
		t.Errorf("untried targets are %v, want only b", rest)
	}
}
