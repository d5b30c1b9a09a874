// Package web serves HTTP with go-zero's router on a given listener. go-zero's own overload protection (load shedding,
// circuit breakers, timeouts, connection limits) is off, because boxes make these decisions themselves.
package web

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/rest"
)

// headerTimeout is the timeout for reading request headers.
const headerTimeout = 5 * time.Second

// Handler returns a handler that dispatches requests to routes.
func Handler(routes []rest.Route) (http.Handler, error) {
	s, err := rest.NewServer(rest.RestConf{Host: "127.0.0.1"})
	if err != nil {
		return nil, eris.Wrap(err, "create router")
	}
	s.AddRoutes(routes)
	inner, err := rest.NewServerless(s)
	if err != nil {
		return nil, eris.Wrap(err, "bind routes")
	}
	return http.HandlerFunc(inner.Serve), nil
}

// Start serves a handler on l in the background until the returned server is closed. cfg is nil for plain HTTP.
func Start(l net.Listener, h http.Handler, cfg *tls.Config) *http.Server {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, TLSConfig: cfg}
	go func() {
		if cfg != nil {
			_ = srv.ServeTLS(l, "", "")
			return
		}
		_ = srv.Serve(l)
	}()
	return srv
}
