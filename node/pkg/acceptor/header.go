package acceptor

import (
	"net/http"
	"path"
	"slices"
	"strings"

	"samphiremount.example/core/refuser"
)

// Headers of the fleet. Those that a caller sends are dropped.
const (
	headerPrefix    = "Samphire-"
	headerRequest   = "Samphire-Request"
	headerWorkspace = "Samphire-Workspace"
	headerOutcome   = "Samphire-Outcome"
)

// hopHeaders concern one connection only (RFC 9110, section 7.6.1). Expect is among them, since the entry answers it.
var hopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// checkRequest refuses what the fleet does not carry. A path with dot segments is refused, since a route would be
// matched on one path and the target would run another.
func checkRequest(request *http.Request) error {
	if request.Header.Get("Upgrade") != "" || request.Method == http.MethodConnect {
		return refuser.Refuse(refuser.UpgradeUnsupported, "")
	}
	clean := path.Clean(request.URL.Path)
	if request.URL.Path != clean && request.URL.Path != clean+"/" {
		return refuser.Refuse(refuser.RequestInvalid, "the path has empty or dot segments")
	}
	return nil
}

// forwardHeader returns the headers that the target gets: neither hop-by-hop headers, nor ones of the fleet, nor any
// that holds the key.
func forwardHeader(request *http.Request, id string, admission admission) http.Header {
	header := endToEnd(request.Header)
	header.Del("Authorization")
	for name, values := range header {
		if strings.HasPrefix(name, headerPrefix) || containsKey(values, admission.presented) {
			header.Del(name)
		}
	}
	header.Set(headerRequest, id)
	if admission.workspace.Name != "" {
		header.Set(headerWorkspace, admission.workspace.Name)
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

// endToEnd returns a copy of header without the headers that end at this hop.
func endToEnd(header http.Header) http.Header {
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

// trailerNames returns the names of the trailers that a request may send on: those of the fleet and of the hop are
// dropped.
func trailerNames(trailer http.Header) []string {
	var names []string
	for name := range trailer {
		if !strings.HasPrefix(name, headerPrefix) && !slices.Contains(hopHeaders, name) && name != "Authorization" {
			names = append(names, name)
		}
	}
	return names
}
