package acceptor

import (
	"net/http"
	"net/url"
	"path"
	"slices"
	"strings"

	"samphiremount.example/core/refuser"
)

// Headers of the fleet. A caller's own values for them are dropped.
const (
	headerPrefix  = "Samphire-"
	headerRequest = "Samphire-Request"
	headerOutcome = "Samphire-Outcome"
)

// MaxHeadBytes bounds the head of a caller's request.
const MaxHeadBytes = 64 << 10

// hopHeaders apply to one connection only (RFC 9110, section 7.6.1). Expect is among them, since the entry answers it.
var hopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// checkCall refuses a path with empty or dot segments, since a target may run another path than the one on which the route is
// matched. Segments are those of the decoded path, as a target may decode it.
func checkCall(call Call) error {
	decoded, err := url.PathUnescape(call.Path)
	if err != nil {
		return refuser.Refuse(refuser.RequestInvalid, "the path is malformed")
	}
	clean := path.Clean(decoded)
	if decoded != clean && decoded != clean+"/" {
		return refuser.Refuse(refuser.RequestInvalid, "the path has empty or dot segments")
	}
	return nil
}

// forwardHeader returns the headers for the target, without hop-by-hop headers, headers of the fleet and the key.
func forwardHeader(request *http.Request) http.Header {
	header := withoutPrefix(EndToEnd(request.Header))
	header.Del("Authorization")
	return header
}

// withoutPrefix removes the headers of the fleet from header and returns it.
func withoutPrefix(header http.Header) http.Header {
	for name := range header {
		if strings.HasPrefix(name, headerPrefix) {
			header.Del(name)
		}
	}
	return header
}

// withoutKey removes the headers that hold key from header and returns it.
func withoutKey(header http.Header, key string) http.Header {
	for name, values := range header {
		if containsKey(values, key) {
			header.Del(name)
		}
	}
	return header
}

func containsKey(values []string, key string) bool {
	for _, value := range values {
		if key != "" && strings.Contains(value, key) {
			return true
		}
	}
	return false
}

// EndToEnd returns a copy of header without the hop-by-hop headers.
func EndToEnd(header http.Header) http.Header {
	kept := header.Clone()
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		kept.Del(name)
	}
	return kept
}

// trailerNames returns the names of the trailers that are sent to the target. Those of the fleet, hop-by-hop ones and
// the key are dropped.
func trailerNames(trailer http.Header) []string {
	var names []string
	for name := range trailer {
		if !strings.HasPrefix(name, headerPrefix) && !slices.Contains(hopHeaders, name) && name != "Authorization" {
			names = append(names, name)
		}
	}
	return names
}
