package router

import (
	"net/http"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"
)

type (
	// Router is go-zero's router interface over exact paths. Whatever no route
	// takes goes to the fallback.
	Router struct {
		routes   map[routeKey]http.Handler
		paths    map[string]bool
		fallback http.Handler
		direct   func(*http.Request) bool
	}

	routeKey struct {
		method string
		path   string
	}

	// Options say what else than routes there is.
	Options struct {
		Name   string
		Routes []rest.Route
		// Fallback takes requests without a route. Nil answers 404.
		Fallback http.Handler
		// Direct sends a request to the fallback even if a route has its path.
		Direct func(*http.Request) bool
	}
)

// New builds a handler of routes.
func New(o Options) (http.Handler, error) {
	r := &Router{
		routes:   map[routeKey]http.Handler{},
		paths:    map[string]bool{},
		fallback: o.Fallback,
		direct:   o.Direct,
	}
	if r.fallback == nil {
		r.fallback = http.NotFoundHandler()
	}
	conf := rest.RestConf{
		ServiceConf: service.ServiceConf{Name: o.Name, Log: logx.LogConf{Mode: "console"}, Mode: service.ProMode},
		// No time-out: a forwarded answer may take hours.
		Timeout: 0,
	}
	s, err := rest.NewServer(conf, rest.WithRouter(r))
	if err != nil {
		return nil, eris.Wrap(err, "set up routes")
	}
	s.AddRoutes(o.Routes)
	serverless, err := rest.NewServerless(s)
	if err != nil {
		return nil, eris.Wrap(err, "bind routes")
	}
	return http.HandlerFunc(serverless.Serve), nil
}

// Handle adds a route.
func (r *Router) Handle(method, path string, h http.Handler) error {
	r.routes[routeKey{method, path}] = h
	r.paths[path] = true
	return nil
}

// SetNotFoundHandler is part of go-zero's interface. The fallback is given at
// construction instead, since go-zero would wrap it.
func (r *Router) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler is part of go-zero's interface.
func (r *Router) SetNotAllowedHandler(http.Handler) {}

// ServeHTTP calls the route of a request.
func (r *Router) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if r.direct != nil && r.direct(q) {
		r.fallback.ServeHTTP(w, q)
		return
	}
	if h := r.routes[routeKey{q.Method, q.URL.Path}]; h != nil {
		h.ServeHTTP(w, q)
		return
	}
	if r.paths[q.URL.Path] {
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
		return
	}
	r.fallback.ServeHTTP(w, q)
}
