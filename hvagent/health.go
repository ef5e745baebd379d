package hvagent

import (
	"context"
	"io"
	"net"
	"net/http"

	"github.com/pkg/errors"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvhttp"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

func listen(address string) (net.Listener, error) {
	if address == "" {
		return nil, nil
	}
	l, err := net.Listen("tcp", address)
	return l, errors.Wrap(err, "listen")
}

func (a *Agent) serveHealth(ctx context.Context, l net.Listener) error {
	mux := http.NewServeMux()
	hvhttp.HealthAPI{Ready: a.Ready, Metrics: a.writeMetrics}.Register(mux)
	return hvhttp.Serve(ctx, l, mux)
}

// Ready returns nil if the side accepts work, otherwise the reason why not.
func (a *Agent) Ready() error {
	switch {
	case a.draining.Load():
		return errorf("ready", hv.Unavailable, "the side is draining")
	case len(a.gates.connected()) == 0:
		return errorf("ready", hv.Unavailable, "no gate is connected")
	case a.tasks != nil && a.tasks.ledger.Load() == nil:
		return errorf("ready", hv.Unavailable, "running attempts have not been read from the worker yet")
	}
	return nil
}

func (a *Agent) writeMetrics(w io.Writer) error {
	out, in := hvwire.Traffic()
	a.metric.Set("hv_wire_sent_bytes", out)
	a.metric.Set("hv_wire_received_bytes", in)
	a.metric.Set("hv_gates_connected", int64(len(a.gates.connected())))
	a.metric.Set("hv_settings_version", int64(a.settings.Current().Number))
	if a.service != nil {
		a.service.setMetrics()
	}
	if a.tasks != nil {
		a.tasks.setMetrics()
	}
	return a.metric.Write(w)
}
