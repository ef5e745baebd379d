package hvadmit_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvadmit"
)

// Guards against requests that wait past their deadline while no slot becomes
// free, and against a slot that stays in use after its release.
func TestWaitEndsAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := hvadmit.New(hv.SystemClock{}, hvadmit.DefaultSettings(), func(n int, m string) { t.Errorf("invariant %d: %s", n, m) })
		a.SetLimit("labels", 1)
		req := hv.Request{Service: "labels", Class: hv.Urgent, Caller: "weights", Remaining: hv.Duration(time.Second)}
		release, _, err := a.Admit(t.Context(), req)
		if err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		if _, _, err := a.Admit(t.Context(), req); hv.KindOf(err) != hv.Expired || time.Since(start) != time.Second {
			t.Errorf("%v after %v, want expired after 1s", err, time.Since(start))
		}
		gone, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		if _, _, err := a.Admit(gone, req); hv.KindOf(err) != hv.Expired {
			t.Errorf("%v, want expired", err)
		}
		go func() {
			time.Sleep(time.Millisecond)
			release()
		}()
		if _, _, err := a.Admit(t.Context(), req); err != nil {
			t.Errorf("a request was refused after the slot was released: %v", err)
		}
	})
}

func ExampleAdmitter_Admit() {
	a := hvadmit.New(hv.SystemClock{}, hvadmit.DefaultSettings(), func(int, string) {})
	req := hv.Request{Service: "labels", Class: hv.Urgent, Caller: "weights", Remaining: hv.Duration(time.Second)}
	_, retry, err := a.Admit(context.Background(), req)
	fmt.Println(err, retry)
	a.SetLimit("labels", 8)
	release, _, err := a.Admit(context.Background(), req)
	fmt.Println(err)
	release()
	// Output:
	// admit enter: no upstream of service labels is live 1s
	// <nil>
}
