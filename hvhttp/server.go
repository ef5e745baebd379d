// Package hvhttp implements the HTTP APIs for callers and operators.
package hvhttp

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// headerTimeout bounds the time to receive the headers of a request.
	headerTimeout = 5 * time.Second
	// idleTimeout bounds the time that a connection stays open between requests.
	idleTimeout = time.Minute
	// maxHeaderSize is the maximum size of the headers of a request, in bytes.
	maxHeaderSize = 16 << 10
	// writeTimeout applies to handlers that set no write deadline. It covers the
	// longest time to receive the body, to run the request, to determine its outcome
	// and to send the response.
	writeTimeout = MaxDeadline + 3*bodyTimeout
	// DrainTimeout bounds a graceful shutdown. It is long enough for the requests
	// in flight to end.
	DrainTimeout = MaxDeadline + bodyTimeout
)

// Serve serves h on l until ctx is done, and then waits for the requests in flight.
func Serve(ctx context.Context, l net.Listener, h http.Handler) error {
	server := &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		WriteTimeout: writeTimeout, MaxHeaderBytes: maxHeaderSize,
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(LimitConnections(l, MaxConnections)) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), DrainTimeout)
	defer cancel()
	return errors.Wrap(server.Shutdown(drainCtx), "drain")
}
