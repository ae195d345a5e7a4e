package route

import (
	"net/http"
	"net/textproto"
	"strings"
)

// reservedPrefix starts the names of this project's own headers. They are set
// explicitly and never copied.
const reservedPrefix = "Kq-"

// hopByHop lists the headers that apply to one connection only (RFC 9110,
// section 7.6.1) and those that net/http writes itself.
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

// copyEndToEnd copies the end-to-end headers. It skips hop-by-hop headers,
// headers named in Connection and headers with the reserved prefix.
func copyEndToEnd(to, from http.Header) {
	var connectionOptions map[string]bool
	for _, line := range from["Connection"] {
		for token := range strings.SplitSeq(line, ",") {
			if connectionOptions == nil {
				connectionOptions = map[string]bool{}
			}
			connectionOptions[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(token))] = true
		}
	}
	for name, values := range from {
		if hopByHop[name] || connectionOptions[name] || strings.HasPrefix(name, reservedPrefix) {
			continue
		}
		to[name] = values
	}
}
