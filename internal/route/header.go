package route

import (
	"net/http"
	"net/textproto"
	"strings"
)

// ourPrefix begins the headers that only we set.
const ourPrefix = "Kq-"

// hopByHop lists the headers of one connection (RFC 9110, section 7.6.1) and
// those that the HTTP library writes itself.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Expect":              true,
	"Content-Length":      true,
	"Host":                true,
}

// copyEndToEnd copies the headers that are meant for the other end.
func copyEndToEnd(to, from http.Header) {
	var named map[string]bool
	for _, line := range from["Connection"] {
		for token := range strings.SplitSeq(line, ",") {
			if named == nil {
				named = map[string]bool{}
			}
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(token))] = true
		}
	}
	for name, values := range from {
		if hopByHop[name] || named[name] || strings.HasPrefix(name, ourPrefix) {
			continue
		}
		to[name] = values
	}
}
