package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"hibiscusvane.example/hibiscusvane/hvlogger"
	"hibiscusvane.example/hibiscusvane/platform"
	"hibiscusvane.example/hibiscusvane/platform/platformtest"
)

// platformConfig is a settings file without a grace period, which is then 6 s.
const platformConfig = `node_name: gate
ip: 127.0.0.1
zone: north
listen_addrs: {front: "%s", ready: "%s"}
port_range: [%d]
platform: {address: "%s"}
`

const catalog = `{"version":1,"routes":[{"name":"r-tags","host":"market.example","path_prefix":"/tags/","service":"desk","max_attempts":3,"stretch":1.5,"slo_ms":250}],
"services":[{"name":"desk","admission_control":true}],"limits":{"max_body_bytes":100000}}`

func freePort(t *testing.T) int {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// Guards against gates that are still running at the end of the grace period and are
// killed: the store does not respond, requests with long deadlines are held, and a
// connection is open on which no request arrives.
func TestStopsWhileStoreDoesNotRespond(t *testing.T) {
	store := platformtest.NewStore()
	store.Put(platform.OperatorsTopic, platform.CatalogKey, []byte(catalog))
	front, ready := fmt.Sprint("127.0.0.1:", freePort(t)), fmt.Sprint("127.0.0.1:", freePort(t))
	path := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(path, fmt.Appendf(nil, platformConfig, front, ready, freePort(t), platformtest.Serve(t, store)), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv(platform.SettingsVariable, path)
	d, err := onPlatform(hvlogger.New(t.Output()))
	if err != nil {
		t.Fatal(err)
	}
	ctx, terminate := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	gate := d.(*platformGate).gate
	for deadline := time.Now().Add(10 * time.Second); !gate.Ready() || !gate.IsOwner(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the gate is not ready after 10 s")
		}
	}
	unused, err := net.Dial("tcp", front)
	if err != nil {
		t.Fatal(err)
	}
	defer unused.Close()
	store.SetFaults(platformtest.Faults{Unresponsive: true})
	statuses := make(chan int, 5)
	for i := range cap(statuses) {
		go func() { statuses <- submit(t.Context(), front, i) }()
	}
	time.Sleep(100 * time.Millisecond)
	began := time.Now()
	terminate()
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
		t.Logf("ended after %v", time.Since(began))
	case <-time.After(6 * time.Second):
		t.Fatal("the gate still runs 6 s after it was told to stop")
	}
	for range cap(statuses) {
		if s := <-statuses; s != http.StatusServiceUnavailable && s != http.StatusGatewayTimeout {
			t.Errorf("status %d of a held request, want 503 or 504", s)
		}
	}
}

// submit submits a job with a deadline of 30 s and returns the status, or 0 without a
// response.
func submit(ctx context.Context, addr string, id int) int {
	body := strings.NewReader(`{"steps":[{"count":1,"cpu":500,"mem_mb":10,"estimate_ms":300}]}`)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/tags/%016x", addr, id), body)
	if err != nil {
		return 0
	}
	r.Host = "market.example"
	r.Header.Set("Deadline-Ms", "30000")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}
