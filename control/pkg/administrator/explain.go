package administrator

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"samphiremount.example/core/explainer"
	"samphiremount.example/core/tracker"
)

type explanationReply struct {
	Request   string               `json:"request"`
	Decisions []explainer.Decision `json:"decisions"`
	Silent    []string             `json:"silent"`
}

// explain returns the decisions on a request that the nodes in the directory recorded, and the nodes that did not answer.
// It does not ask nodes that are gone.
func (a *Administrator) explain(c echo.Context) error {
	var present []tracker.Node
	for _, node := range a.hub.Directory().Nodes() {
		if !node.Gone {
			present = append(present, node)
		}
	}
	id := c.Param("id")
	decisions, silent := a.explainer.Explain(c.Request().Context(), present, id)
	return c.JSON(http.StatusOK, explanationReply{id, decisions, silent})
}
