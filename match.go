package gypsumrail

import "strings"

// Match returns the class of a plain request. Among the classes of the host, it
// is the one with the longest prefix of the path. A query after the path is
// ignored.
func (r *Records) Match(host, path string) (*Class, bool) {
	prefixes := r.Routes[host]
	if prefixes == nil {
		return nil, false
	}
	path, _, _ = strings.Cut(path, "?")
	for end := len(path); end > 0; end = strings.LastIndexByte(path[:end-1], '/') + 1 {
		if path[end-1] != '/' {
			continue
		}
		if class := prefixes[path[:end]]; class != nil {
			return class, true
		}
	}
	return nil, false
}

// IndexRoutes builds the index that Match uses. It is called once, before the
// records are used. Of several classes with the same host and prefix the first by name
// gets the requests, so that all nodes choose the same.
func (r *Records) IndexRoutes() {
	r.Routes = make(map[string]map[string]*Class)
	for _, class := range r.Classes {
		if class.Route.Host == "" {
			continue
		}
		prefixes := r.Routes[class.Route.Host]
		if prefixes == nil {
			prefixes = make(map[string]*Class)
			r.Routes[class.Route.Host] = prefixes
		}
		if other := prefixes[class.Route.Prefix]; other == nil || class.Name < other.Name {
			prefixes[class.Route.Prefix] = class
		}
	}
}
