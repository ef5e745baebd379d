// Package hvhttp serves callers and operators over HTTP.
package hvhttp

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// headerTimeout bounds the time in which the headers must arrive.
	headerTimeout = 5 * time.Second
	// idleTimeout bounds a connection between requests.
	idleTimeout = time.Minute
	// maxHeader bounds the headers of a request, in bytes.
	maxHeader = 16 << 10
	// writeTimeout is a backstop for handlers that set no deadline of their
	// own. It covers the longest body, deadline, settling and answer.
	writeTimeout = MaxDeadline + 3*bodyTimeout
	// DrainTimeout bounds a graceful stop. Requests in flight end by then.
	DrainTimeout = MaxDeadline + bodyTimeout
)

// Serve serves h on l until ctx ends, then finishes the requests in flight.
func Serve(ctx context.Context, l net.Listener, h http.Handler) error {
	server := &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		WriteTimeout: writeTimeout, MaxHeaderBytes: maxHeader,
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(LimitConnections(l, MaxConnections)) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	drain, cancel := context.WithTimeout(context.WithoutCancel(ctx), DrainTimeout)
	defer cancel()
	return errors.Wrap(server.Shutdown(drain), "drain")
}
