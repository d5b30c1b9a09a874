// Package web serves HTTP through go-zero's router on a listener of the caller's choice. Everything
// in go-zero's rest that would decide in the system's place (shedding, breakers, time-outs, limits
// on connections) is off.
package web

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/rest"
)

// headerWait bounds how long a client may take over its headers.
const headerWait = 5 * time.Second

// Handler makes one handler of routes.
func Handler(routes []rest.Route) (http.Handler, error) {
	s, err := rest.NewServer(rest.RestConf{Host: "127.0.0.1"})
	if err != nil {
		return nil, eris.Wrap(err, "router can't be made")
	}
	s.AddRoutes(routes)
	inner, err := rest.NewServerless(s)
	if err != nil {
		return nil, eris.Wrap(err, "routes can't be bound")
	}
	return http.HandlerFunc(inner.Serve), nil
}

// Start serves a handler until the server is closed; cfg may be nil.
func Start(l net.Listener, h http.Handler, cfg *tls.Config) *http.Server {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerWait, TLSConfig: cfg}
	go func() {
		if cfg != nil {
			_ = srv.ServeTLS(l, "", "")
			return
		}
		_ = srv.Serve(l)
	}()
	return srv
}
