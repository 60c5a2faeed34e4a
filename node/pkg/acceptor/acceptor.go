// Package acceptor takes callers' requests: it authenticates, admits, routes and forwards them, and returns the
// answers.
package acceptor

import (
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/rs/xid"

	"samphiremount.example/core/granter"
	"samphiremount.example/core/refuser"
)

// Acceptor serves callers.
type Acceptor struct {
	Dependencies

	chooser *chooser
	// pool is the memory for bodies that are longer than what is kept of each.
	pool granter.Pool
}

// New returns an Acceptor without requests in flight.
func New(dependencies Dependencies) *Acceptor {
	return &Acceptor{Dependencies: dependencies, chooser: newChooser(dependencies)}
}

// Handler serves every method and path for callers.
func (a *Acceptor) Handler() http.Handler {
	server := echo.New()
	server.Any("/*", a.serve)
	// The request target of CONNECT is not a path, so no route of the server matches it.
	server.Pre(func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			if c.Request().Method == http.MethodConnect {
				return a.serve(c)
			}
			return next(c)
		}
	})
	server.HTTPErrorHandler = func(err error, c echo.Context) { refuse(c, "", err) }
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		server.ServeHTTP(a.AllowEarlyAnswer(w, r))
	})
}

func (a *Acceptor) serve(c echo.Context) error {
	request := c.Request()
	id := xid.New().String()
	if request.Header.Get("Upgrade") != "" || request.Method == http.MethodConnect {
		refuse(c, id, refuser.Refuse(refuser.UpgradeUnsupported, ""))
		return nil
	}
	answer, err := a.Serve(request.Context(), Call{
		ID: id, Method: request.Method, Host: request.Host, Path: request.URL.EscapedPath(), URI: request.URL.RequestURI(),
		Header: forwardHeader(request), Credentials: request.Header.Values("Authorization"),
		Body: request.Body, Length: request.ContentLength, Trailer: request.Trailer,
	})
	if err != nil {
		refuse(c, id, err)
		return nil
	}
	defer func() { _ = answer.Body.Close() }()
	answer.Header = withoutPrefix(EndToEnd(answer.Header))
	answer.Header.Set(headerRequest, id)
	answer.Header.Set(headerOutcome, refuser.Ran{}.String())
	if err := a.Relay(c.Response(), request, id, answer); err != nil {
		refuse(c, id, err)
	}
	return nil
}
