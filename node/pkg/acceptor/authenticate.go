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

// admission is what is known of a request after its key was checked. Presented is the key's text, to keep it from
// targets; it must not be logged.
type admission struct {
	route     configurer.Route
	workspace configurer.Workspace
	presented string
}

// authenticate finds the route and the workspace that the request's key belongs to. An open route needs no key and
// runs for no workspace.
func authenticate(view *viewer.View, call Call) (admission, error) {
	if view.Configuration.Version() == 0 {
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
		return admission{route: route, presented: presented(values)}, nil
	}
	if len(values) == 0 {
		return admission{}, refuser.Refuse(refuser.KeyMissing, "")
	}
	if refuse, ok := view.Assess(timekeeper.Now()).(fencer.Refuse); ok {
		return admission{}, refuser.Refuse(refuser.ConfigurationStale, refuse.Reason())
	}
	workspace, err := owner(view, presented(values))
	return admission{route: route, workspace: workspace, presented: presented(values)}, err
}

func presented(values []string) string {
	if len(values) == 0 {
		return ""
	}
	value := values[0]
	if len(value) > len(bearer) && strings.EqualFold(value[:len(bearer)], bearer) {
		return strings.TrimSpace(value[len(bearer):])
	}
	return value
}

func owner(view *viewer.View, text string) (configurer.Workspace, error) {
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
