// Package administrator serves the operators' HTTP API.
package administrator

import (
	"crypto/subtle"
	"log/slog"
	"net/http"
	"slices"
	"strings"

	"github.com/labstack/echo/v4"

	"samphiremount.example/control/pkg/proposer"
	"samphiremount.example/core/configurer"
	"samphiremount.example/core/explainer"
	"samphiremount.example/core/refuser"
	"samphiremount.example/core/synchronizer"
	"samphiremount.example/core/tracker"
)

const maxBodyBytes = 64 << 20

// Administrator handles the requests of operators.
type Administrator struct {
	token     []byte
	proposer  proposer.Proposer
	hub       *synchronizer.Hub
	server    *synchronizer.Server
	explainer *explainer.Explainer
	log       *slog.Logger
}

// New returns an Administrator that accepts requests with the bearer token token.
func New(
	token []byte, proposer proposer.Proposer, hub *synchronizer.Hub, server *synchronizer.Server,
	explainer *explainer.Explainer, log *slog.Logger,
) *Administrator {
	return &Administrator{token: token, proposer: proposer, hub: hub, server: server, explainer: explainer, log: log}
}

// Handler returns the handler of the operators' API.
func (a *Administrator) Handler() http.Handler {
	server := echo.New()
	server.HTTPErrorHandler = refuse
	server.JSONSerializer = wholeSerializer{}
	server.Use(a.authenticate)
	server.POST("/changes", a.change)
	server.POST("/withdrawals", a.withdraw)
	server.GET("/configuration", a.configuration)
	server.GET("/nodes", a.nodes)
	server.GET("/version", a.version)
	server.GET("/requests/:id", a.explain)
	server.GET("/members", a.members)
	server.POST("/members", a.replace)
	return server
}

func (a *Administrator) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		token := strings.TrimPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(token), a.token) != 1 {
			return refuser.Refuse(refuser.OperatorUnknown, "")
		}
		return next(c)
	}
}

type changeRequest struct {
	Operation string              `json:"operation"`
	Base      uint64              `json:"base"`
	Changes   []configurer.Record `json:"changes"`
}

type changeReply struct {
	Version uint64 `json:"version"`
}

func (a *Administrator) change(c echo.Context) error {
	c.Request().Body = http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes)
	var request changeRequest
	if err := c.Bind(&request); err != nil {
		return refuser.Refuse(refuser.ChangeInvalid, "the body is malformed")
	}
	changes, err := configurer.Changes(request.Changes)
	if err != nil {
		return refuser.Refuse(refuser.ChangeInvalid, err.Error())
	}
	if slices.ContainsFunc(changes, isLenders) {
		return refuser.Refuse(refuser.ChangeInvalid, "lenders are chosen by the leader of the log alone")
	}
	batch := configurer.Batch{Operation: request.Operation, BaseVersion: request.Base, Changes: changes}
	receipt, err := a.proposer.Propose(c.Request().Context(), batch)
	if err != nil {
		return err
	}
	a.log.Info("change accepted", "operation", request.Operation, "version", receipt.Version, "changes", len(changes))
	return c.JSON(http.StatusOK, changeReply{receipt.Version})
}

// isLenders reports whether change is one of the lenders. Whoever proposes them must have waited until the rights of earlier
// holders have ended.
func isLenders(change configurer.Change) bool {
	_, ok := change.(configurer.PutLenders)
	return ok
}

type withdrawRequest struct {
	Keys []string `json:"keys"`
}

// withdraw withdraws keys without the leader, so that it also works without a quorum. The withdrawal spreads to every
// process that this one can reach. It is never undone, so it needs no consensus. The operator's tool also withdraws the
// keys by a change of the configuration.
func (a *Administrator) withdraw(c echo.Context) error {
	var request withdrawRequest
	if err := c.Bind(&request); err != nil || len(request.Keys) == 0 {
		return refuser.Refuse(refuser.ChangeInvalid, "the body is malformed")
	}
	added := a.hub.Withdraw(request.Keys...)
	a.log.Info("keys withdrawn", "keys", request.Keys, "added", len(added))
	return c.NoContent(http.StatusNoContent)
}

type configurationReply struct {
	Version uint64              `json:"version"`
	Records []configurer.Record `json:"records"`
}

func (a *Administrator) configuration(c echo.Context) error {
	if err := a.proposer.ReadBarrier(c.Request().Context()); err != nil {
		return err
	}
	configuration := a.hub.Configuration()
	return c.JSON(http.StatusOK, configurationReply{configuration.Version(), configuration.Records()})
}

type nodesReply struct {
	Nodes []tracker.Node `json:"nodes"`
}

func (a *Administrator) nodes(c echo.Context) error {
	return c.JSON(http.StatusOK, nodesReply{a.hub.Directory().Nodes()})
}

type versionReply struct {
	Version uint64            `json:"version"`
	Applied map[string]uint64 `json:"applied"`
}

func (a *Administrator) version(c echo.Context) error {
	if err := a.proposer.ReadBarrier(c.Request().Context()); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, versionReply{a.hub.Configuration().Version(), a.server.AppliedVersions()})
}

type refusalReply struct {
	Error   string `json:"error"`
	Message string `json:"message"`
	Detail  string `json:"detail"`
}

// refuse answers with the status and the message of the refusal's kind. Operators get the detail too.
func refuse(err error, c echo.Context) {
	refusal := refuser.From(err)
	answer := refusal.Kind.Answer()
	_ = c.JSON(answer.Status, refusalReply{string(refusal.Kind), answer.Message, refusal.Detail})
}
