package administrator

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"samphiremount.example/core/refuser"
	"samphiremount.example/core/replicator"
)

type memberReply struct {
	Name     string `json:"name"`
	Identity string `json:"identity"`
	Role     string `json:"role"`
}

type membersReply struct {
	Leader  string        `json:"leader"`
	Term    uint64        `json:"term"`
	Commit  uint64        `json:"commit"`
	Members []memberReply `json:"members"`
}

// members lists the voters, the learners and the processes that ask to join. The latter have the role "newcomer".
func (a *Administrator) members(c echo.Context) error {
	status := a.proposer.Status()
	reply := membersReply{Leader: status.Leader, Term: status.Term, Commit: status.CommitIndex}
	add := func(role string, member replicator.Member) {
		reply.Members = append(reply.Members, memberReply{member.Name, string(member.Identity), role})
	}
	for _, member := range status.Members.Voters {
		add("voter", member)
	}
	for _, learner := range status.Members.Learners {
		add("learner", learner.Member)
	}
	for _, process := range status.Joining {
		add("newcomer", process)
	}
	return c.JSON(http.StatusOK, reply)
}

type replaceRequest struct {
	Name string `json:"name"`
}

// replace starts the replacement of a member by the joining process of the same name. It answers once that process is a
// learner; GET /members shows when it has become a voter.
func (a *Administrator) replace(c echo.Context) error {
	c.Request().Body = http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes)
	var request replaceRequest
	if err := c.Bind(&request); err != nil || request.Name == "" {
		return refuser.Refuse(refuser.ChangeInvalid, "the body names no member")
	}
	if err := a.proposer.Replace(c.Request().Context(), request.Name); err != nil {
		return err
	}
	a.log.Info("replacement of a member accepted", "member", request.Name)
	return a.members(c)
}
