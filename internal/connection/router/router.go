package router

import (
	"net/http"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"
)

type (
	// Router implements go-zero's router interface for exact paths. A request that
	// matches no route goes to the fallback.
	Router struct {
		routes       map[routeKey]http.Handler
		paths        map[string]bool
		fallback     http.Handler
		bypassRoutes func(*http.Request) bool
	}

	routeKey struct {
		method string
		path   string
	}

	// Options configures New.
	Options struct {
		Name   string
		Routes []rest.Route
		// Fallback serves requests that match no route. Nil means a 404 response.
		Fallback http.Handler
		// BypassRoutes reports whether a request goes to the fallback even if a route
		// matches it. Nil means that none does.
		BypassRoutes func(*http.Request) bool
	}
)

// New returns a handler that serves the routes of o.
func New(o Options) (http.Handler, error) {
	r := &Router{
		routes:       map[routeKey]http.Handler{},
		paths:        map[string]bool{},
		fallback:     o.Fallback,
		bypassRoutes: o.BypassRoutes,
	}
	if r.fallback == nil {
		r.fallback = http.NotFoundHandler()
	}
	conf := rest.RestConf{
		ServiceConf: service.ServiceConf{Name: o.Name, Log: logx.LogConf{Mode: "console"}, Mode: service.ProMode},
		// No timeout: a forwarded response may take hours.
		Timeout: 0,
	}
	s, err := rest.NewServer(conf, rest.WithRouter(r))
	if err != nil {
		return nil, eris.Wrap(err, "create route server")
	}
	s.AddRoutes(o.Routes)
	serverless, err := rest.NewServerless(s)
	if err != nil {
		return nil, eris.Wrap(err, "bind routes")
	}
	return http.HandlerFunc(serverless.Serve), nil
}

// Handle adds a route. It never fails.
func (r *Router) Handle(method, path string, h http.Handler) error {
	r.routes[routeKey{method, path}] = h
	r.paths[path] = true
	return nil
}

// SetNotFoundHandler does nothing. The fallback is passed to New instead, because go-zero
// would wrap it.
func (r *Router) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler does nothing. ServeHTTP itself responds with 405.
func (r *Router) SetNotAllowedHandler(http.Handler) {}

// ServeHTTP passes a request to the handler of its route or to the fallback. It responds
// with 405 if only other methods have a route for the path.
func (r *Router) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if r.bypassRoutes != nil && r.bypassRoutes(q) {
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
