package relay

import (
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/topology"
)

// reasonLargeResult is the detail of responses in place of a result that fits no link.
const reasonLargeResult = "the result is too large to be forwarded"

// withoutResult returns the response to a request whose result fits no link. A read has failed, and an
// open transaction is rolled back. A write or a COMMIT has run, but the caller gets no proof of it.
func (s *server) withoutResult(from topology.InstanceID, req *forwardRequest, resp *forwardResponse) *forwardResponse {
	reduced := *resp
	result := &reduced.Result
	result.Rows, result.Signature = nil, ""
	switch {
	case result.Code != statement.OK:
	case result.State == statement.Open:
		s.abort(remoteSessionID{instance: from, id: req.Session})
		result.Code, result.Detail, result.State = statement.Aborted, reasonLargeResult, statement.Failed
	case req.Statement.Kind == statement.Commit || req.callerSession().MayWrite(req.Statement):
		result.Code, result.Detail = statement.InDoubt, reasonLargeResult
	default:
		result.Code, result.Detail = statement.ExecutionFailed, reasonLargeResult
	}
	return &reduced
}
