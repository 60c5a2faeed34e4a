// Package acceptor takes callers' requests: it authenticates, admits, routes and forwards them and returns answers.
package acceptor

import (
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rs/xid"

	"samphiremount.example/core/refuser"
	"samphiremount.example/core/retrier"
	"samphiremount.example/core/router"
	"samphiremount.example/node/pkg/carrier"
	"samphiremount.example/node/pkg/viewer"
)

// Dependencies are what an Acceptor needs.
type Dependencies struct {
	Name    string
	Viewer  *viewer.Viewer
	Client  *carrier.Client
	Place   router.Place
	Random  *rand.Rand
	Route   *slog.Logger
	Admit   *slog.Logger
	Drawer  Drawer
	Retrier *retrier.Retrier
	Watcher Watcher
}

// Acceptor serves callers.
type Acceptor struct {
	Dependencies

	chooser *chooser
}

// New returns an Acceptor without requests in flight.
func New(dependencies Dependencies) *Acceptor {
	return &Acceptor{Dependencies: dependencies, chooser: newChooser(dependencies)}
}

// Handler serves every method and path for callers.
func (a *Acceptor) Handler() http.Handler {
	server := echo.New()
	server.Any("/*", a.serve)
	server.HTTPErrorHandler = func(err error, c echo.Context) { refuse(c, "", err) }
	return server
}

func (a *Acceptor) serve(c echo.Context) error {
	id := xid.New().String()
	answer, err := a.answer(c.Request(), id)
	if err != nil {
		refusal := refuser.From(err)
		a.Route.Info("request refused", "request", id, "kind", refusal.Kind, "outcome", refusal.Outcome,
			"detail", refusal.Detail)
		refuse(c, id, refusal)
		return nil
	}
	defer func() { _ = answer.Body.Close() }()
	if err := relay(c.Response(), id, answer); err != nil {
		a.Route.Warn("answer cut", "request", id, "reason", err)
		// The caller must see that the answer is not whole, so the connection ends without its end mark.
		panic(http.ErrAbortHandler)
	}
	a.Route.Info("request answered", "request", id, "status", answer.Status, "outcome", refuser.Ran{})
	return nil
}

func (a *Acceptor) answer(request *http.Request, id string) (carrier.Answer, error) {
	if err := checkRequest(request); err != nil {
		return carrier.Answer{}, err
	}
	view := a.Viewer.View()
	admission, err := authenticate(view, request)
	if err != nil {
		return carrier.Answer{}, err
	}
	if err := a.admit(request.Context(), admission, id); err != nil {
		return carrier.Answer{}, err
	}
	deadline := time.Now().Add(admission.route.Limit)
	head := carrier.Head{
		ID: id, Service: admission.route.Service, Workspace: admission.workspace.Name,
		Weight:     admission.workspace.Weight,
		Repeatable: admission.route.Repeatable, Deadline: deadline, Method: request.Method,
		URI: request.URL.RequestURI(), Host: request.Host, Header: forwardHeader(request, id, admission),
		Length: request.ContentLength, Trailer: trailerNames(request.Trailer),
	}
	return a.forward(request.Context(), head, request, admission.presented)
}
