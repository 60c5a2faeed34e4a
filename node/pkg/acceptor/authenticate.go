package acceptor

import (
	"net"
	"strings"

	"samphiremount.example/core/configurer"
	"samphiremount.example/core/fencer"
	"samphiremount.example/core/keyer"
	"samphiremount.example/core/refuser"
	"samphiremount.example/core/timekeeper"
	"samphiremount.example/node/pkg/viewer"
)

const bearer = "Bearer "

// admission holds what is known of a request after its key was checked. presentedKey is the text of the key. It must
// neither reach targets nor be logged.
type admission struct {
	route        configurer.Route
	workspace    configurer.Workspace
	presentedKey string
}

// authenticate returns the route of the request and the workspace that its key belongs to. An open route needs no key
// and has no workspace.
func authenticate(view *viewer.View, call Call) (admission, error) {
	if view.Configuration.Unset() {
		return admission{}, refuser.Refuse(refuser.ConfigurationStale, "no configuration is in force yet")
	}
	route, ok := view.Matcher.Match(hostname(call.Host), call.Path)
	if !ok {
		return admission{}, refuser.Refuse(refuser.RouteUnknown, "")
	}
	values := call.Credentials
	if len(values) > 1 {
		return admission{}, refuser.Refuse(refuser.KeyRepeated, "")
	}
	if route.Open {
		return admission{route: route, presentedKey: bearerToken(values)}, nil
	}
	if len(values) == 0 {
		return admission{}, refuser.Refuse(refuser.KeyMissing, "")
	}
	if refuse, ok := view.Assess(timekeeper.Now()).(fencer.Refuse); ok {
		return admission{}, refuser.Refuse(refuser.ConfigurationStale, refuse.Reason())
	}
	workspace, err := workspaceOf(view, bearerToken(values))
	return admission{route: route, workspace: workspace, presentedKey: bearerToken(values)}, err
}

func bearerToken(values []string) string {
	if len(values) == 0 {
		return ""
	}
	value := values[0]
	if len(value) > len(bearer) && strings.EqualFold(value[:len(bearer)], bearer) {
		return strings.TrimSpace(value[len(bearer):])
	}
	return value
}

func workspaceOf(view *viewer.View, text string) (configurer.Workspace, error) {
	key, err := keyer.Parse(text)
	if err != nil {
		key = keyer.External(text)
	}
	stored, ok := view.Configuration.Key(key.ID)
	if !ok || !key.Matches(stored.Digest) {
		return configurer.Workspace{}, refuser.Refuse(refuser.KeyUnknown, "")
	}
	if view.Withdrawn(stored) {
		return configurer.Workspace{}, refuser.Refuse(refuser.KeyWithdrawn, "")
	}
	workspace, ok := view.Configuration.Workspace(stored.Workspace)
	if !ok {
		return configurer.Workspace{}, refuser.Refuse(refuser.KeyUnknown, "the workspace is gone")
	}
	return workspace, nil
}

func hostname(hostport string) string {
	host, _, err := net.SplitHostPort(hostport)
	if err != nil {
		return hostport
	}
	return host
}
