// Package admin lets tests, the load tool and people make stand-ins fail while
// they run: typed calls over HTTP and JSON, with a handler and a caller for each
// stand-in.
package admin

import (
	"context"
	"errors"
	"net/http"

	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/platform/httpjson"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/standin/group"
)

// Paths of the calls.
const (
	// Prefix is where all paths begin.
	Prefix = "/admin/"

	pathStoreFaults    = Prefix + "store/faults"
	pathStoreCounts    = Prefix + "store/counts"
	pathInstancePut    = Prefix + "instance/put"
	pathInstanceRemove = Prefix + "instance/remove"
	pathInstanceLag    = Prefix + "instance/lag"
	pathMemberFaults   = Prefix + "member/faults"
	pathMemberKill     = Prefix + "member/kill"
	pathMemberRestart  = Prefix + "member/restart"
	pathMemberList     = Prefix + "member/list"
)

type empty struct{}

// errNoMember reports a target that doesn't run at the stand-in.
var errNoMember = errors.New("no such member")

func classify(err error) (int, httpjson.Code) {
	if errors.Is(err, errNoMember) {
		return http.StatusNotFound, "no_such_member"
	}
	return http.StatusInternalServerError, httpjson.CodeInternal
}

func handle[Q, A any](mux *http.ServeMux, path string, call func(Q) (A, error)) {
	mux.Handle(path, httpjson.Handle(classify, func(_ context.Context, request Q) (A, error) { return call(request) }))
}

// withoutResponse adapts a call that always succeeds.
func withoutResponse[Q any](call func(Q)) func(Q) (empty, error) {
	return func(request Q) (empty, error) {
		call(request)
		return empty{}, nil
	}
}

// Member describes one member of a group stand-in.
type Member struct {
	Target platform.Target `json:"target"`
	Status topology.Status `json:"status"`
	Faults group.Faults    `json:"faults"`
	Stats  group.Stats     `json:"stats"`
}

type memberFaultsRequest struct {
	Target topology.TargetID `json:"target"`
	Faults group.Faults      `json:"faults"`
}

type memberRequest struct {
	Target topology.TargetID `json:"target"`
}

type memberListResponse struct {
	Members []Member `json:"members"`
}

// GroupHandler serves the calls about the members of g.
func GroupHandler(g *group.Group) http.Handler {
	mux := http.NewServeMux()
	handle(mux, pathMemberFaults, withMember(g, func(request memberFaultsRequest) topology.TargetID { return request.Target },
		func(m *group.Member, request memberFaultsRequest) error {
			m.SetFaults(request.Faults)
			return nil
		}))
	requestedTarget := func(request memberRequest) topology.TargetID { return request.Target }
	handle(mux, pathMemberKill, withMember(g, requestedTarget, func(m *group.Member, _ memberRequest) error {
		m.Kill()
		return nil
	}))
	handle(mux, pathMemberRestart, withMember(g, requestedTarget, func(m *group.Member, _ memberRequest) error {
		return m.Restart()
	}))
	handle(mux, pathMemberList, func(empty) (memberListResponse, error) { return listMembers(g), nil })
	return mux
}

func withMember[Q any](g *group.Group, targetOf func(Q) topology.TargetID, operation func(*group.Member, Q) error) func(Q) (empty, error) {
	return func(request Q) (empty, error) {
		m := g.Member(targetOf(request))
		if m == nil {
			return empty{}, eris.Wrapf(errNoMember, "target %s", targetOf(request))
		}
		return empty{}, operation(m, request)
	}
}

func listMembers(g *group.Group) memberListResponse {
	var list memberListResponse
	for _, m := range g.Members() {
		status, _ := m.Database().Status(context.Background())
		list.Members = append(list.Members, Member{Target: m.Target(), Status: status, Faults: m.Faults(), Stats: m.Stats()})
	}
	return list
}

// GroupCaller calls a GroupHandler.
type GroupCaller struct {
	address string
	http    *http.Client
}

// NewGroupCaller returns a caller of the handler at address, host:port.
func NewGroupCaller(address string) *GroupCaller {
	return &GroupCaller{address: address, http: httpjson.NewClient()}
}

// SetFaults replaces a member's faults.
func (c *GroupCaller) SetFaults(ctx context.Context, target topology.TargetID, faults group.Faults) error {
	_, err := httpjson.Call[memberFaultsRequest, empty](ctx, c.http, c.address, pathMemberFaults, memberFaultsRequest{target, faults})
	return eris.Wrapf(err, "set the faults of target %s", target)
}

// Kill stops a member.
func (c *GroupCaller) Kill(ctx context.Context, target topology.TargetID) error {
	_, err := httpjson.Call[memberRequest, empty](ctx, c.http, c.address, pathMemberKill, memberRequest{target})
	return eris.Wrapf(err, "kill target %s", target)
}

// Restart starts a member again.
func (c *GroupCaller) Restart(ctx context.Context, target topology.TargetID) error {
	_, err := httpjson.Call[memberRequest, empty](ctx, c.http, c.address, pathMemberRestart, memberRequest{target})
	return eris.Wrapf(err, "restart target %s", target)
}

// Members lists the members.
func (c *GroupCaller) Members(ctx context.Context) ([]Member, error) {
	list, err := httpjson.Call[empty, memberListResponse](ctx, c.http, c.address, pathMemberList, empty{})
	return list.Members, eris.Wrap(err, "list the members")
}
