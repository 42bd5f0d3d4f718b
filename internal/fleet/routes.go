package fleet

import "strings"

// RouteIndex finds the route with the longest matching prefix. A lookup costs
// one map access for each path segment, independent of the number of routes; a
// list of patterns would cost 5,300 comparisons at the design size.
type RouteIndex struct {
	byHostPrefix map[string]map[string]Route
}

// NewRouteIndex returns an index of the given routes.
func NewRouteIndex(routes map[string]Route) *RouteIndex {
	index := &RouteIndex{byHostPrefix: map[string]map[string]Route{}}
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		if index.byHostPrefix[host] == nil {
			index.byHostPrefix[host] = map[string]Route{}
		}
		index.byHostPrefix[host][route.Prefix] = route
	}
	return index
}

// Find returns the route for a host name without port and a path. Routes for the
// host take precedence over routes for all hosts; among these the longest prefix
// wins.
func (x *RouteIndex) Find(host, path string) (Route, bool) {
	if route, ok := longestMatch(x.byHostPrefix[strings.ToLower(host)], path); ok && host != "" {
		return route, true
	}
	return longestMatch(x.byHostPrefix[""], path)
}

func longestMatch(prefixes map[string]Route, path string) (Route, bool) {
	if len(prefixes) == 0 {
		return Route{}, false
	}
	if route, ok := prefixes[path+"/"]; ok {
		return route, true
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route, ok := prefixes[path[:end+1]]; ok {
			return route, true
		}
	}
	return Route{}, false
}

// FindPrefix returns the route of the host with the longest prefix that the path
// begins with. Unlike Find, it does not match a prefix without its final slash,
// and it ignores routes for all hosts.
func (x *RouteIndex) FindPrefix(host, path string) (Route, bool) {
	prefixes := x.byHostPrefix[strings.ToLower(host)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route, ok := prefixes[path[:end+1]]; ok {
			return route, true
		}
	}
	return Route{}, false
}

// SafeMethod reports whether RFC 9110 defines the method as safe. Safe methods
// are always idempotent.
func SafeMethod(method string) bool {
	return method == "GET" || method == "HEAD" || method == "OPTIONS"
}

// IsIdempotent reports whether a request with the method may run more than once.
func (r Route) IsIdempotent(method string) bool {
	if r.Kind != "" {
		return r.Kind == KindIdempotent
	}
	if SafeMethod(method) {
		return true
	}
	for _, m := range r.Idempotent {
		if m == method {
			return true
		}
	}
	return false
}
