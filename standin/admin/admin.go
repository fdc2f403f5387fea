// Package admin is the interface by which tests, the load tool and operators
// inspect running stand-ins and inject faults: HTTP and JSON, with a handler and a
// client for the store and for a group.
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

// Paths of the interface.
const (
	// Prefix begins every path.
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

// emptyMessage is a request or a response without content.
type emptyMessage struct{}

// errNoSuchMember reports a target that does not run in the stand-in's process.
var errNoSuchMember = errors.New("no such member")

// classify returns the HTTP status and the error code of a failed call.
func classify(err error) (int, httpjson.Code) {
	if errors.Is(err, errNoSuchMember) {
		return http.StatusNotFound, "no_such_member"
	}
	return http.StatusInternalServerError, httpjson.CodeInternal
}

// handleCall serves a function with a request and a response at a path.
func handleCall[Q, A any](mux *http.ServeMux, path string, call func(Q) (A, error)) {
	mux.Handle(path, httpjson.Handle(classify, func(_ context.Context, request Q) (A, error) { return call(request) }))
}

// alwaysSucceeds adapts a function without results to handleCall.
func alwaysSucceeds[Q any](call func(Q)) func(Q) (emptyMessage, error) {
	return func(request Q) (emptyMessage, error) {
		call(request)
		return emptyMessage{}, nil
	}
}

// Member is the state of one member of a group.
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

// memberRequest is the request of the calls that only name a member.
type memberRequest struct {
	Target topology.TargetID `json:"target"`
}

type memberListResponse struct {
	Members []Member `json:"members"`
}

// GroupHandler serves the calls on the members of g that run in this process.
func GroupHandler(g *group.Group) http.Handler {
	mux := http.NewServeMux()
	handleCall(mux, pathMemberFaults, withMember(g, func(request memberFaultsRequest) topology.TargetID { return request.Target },
		func(m *group.Member, request memberFaultsRequest) error {
			m.SetFaults(request.Faults)
			return nil
		}))
	requestedTarget := func(request memberRequest) topology.TargetID { return request.Target }
	handleCall(mux, pathMemberKill, withMember(g, requestedTarget, func(m *group.Member, _ memberRequest) error {
		m.Kill()
		return nil
	}))
	handleCall(mux, pathMemberRestart, withMember(g, requestedTarget, func(m *group.Member, _ memberRequest) error {
		return m.Restart()
	}))
	handleCall(mux, pathMemberList, func(emptyMessage) (memberListResponse, error) { return listMembers(g), nil })
	return mux
}

// withMember adapts an operation on the member that a request names. It fails with
// errNoSuchMember when the member does not run here.
func withMember[Q any](g *group.Group, targetOf func(Q) topology.TargetID, operation func(*group.Member, Q) error) func(Q) (emptyMessage, error) {
	return func(request Q) (emptyMessage, error) {
		m := g.Member(targetOf(request))
		if m == nil {
			return emptyMessage{}, eris.Wrapf(errNoSuchMember, "target %s", targetOf(request))
		}
		return emptyMessage{}, operation(m, request)
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

// GroupClient is a client of a GroupHandler.
type GroupClient struct {
	address string
	http    *http.Client
}

// NewGroupClient returns a client of the handler at address, host:port.
func NewGroupClient(address string) *GroupClient {
	return &GroupClient{address: address, http: httpjson.NewClient()}
}

// SetFaults replaces a member's faults.
func (c *GroupClient) SetFaults(ctx context.Context, target topology.TargetID, faults group.Faults) error {
	_, err := httpjson.Call[memberFaultsRequest, emptyMessage](ctx, c.http, c.address, pathMemberFaults, memberFaultsRequest{target, faults})
	return eris.Wrapf(err, "set the faults of target %s", target)
}

// Kill kills a member; see group.Member.
func (c *GroupClient) Kill(ctx context.Context, target topology.TargetID) error {
	_, err := httpjson.Call[memberRequest, emptyMessage](ctx, c.http, c.address, pathMemberKill, memberRequest{target})
	return eris.Wrapf(err, "kill target %s", target)
}

// Restart starts a member that was killed.
func (c *GroupClient) Restart(ctx context.Context, target topology.TargetID) error {
	_, err := httpjson.Call[memberRequest, emptyMessage](ctx, c.http, c.address, pathMemberRestart, memberRequest{target})
	return eris.Wrapf(err, "restart target %s", target)
}

// Members returns the state of every member that runs in the stand-in's process.
func (c *GroupClient) Members(ctx context.Context) ([]Member, error) {
	list, err := httpjson.Call[emptyMessage, memberListResponse](ctx, c.http, c.address, pathMemberList, emptyMessage{})
	return list.Members, eris.Wrap(err, "list the members")
}
