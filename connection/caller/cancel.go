package caller

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"
)

// forwardCancelRequest cancels the running request of the session that a cancel
// request identifies. Only sessions of this instance are known. A request with a
// wrong secret is ignored. As the protocol requires, no cancel request gets a
// response.
func (s *Server) forwardCancelRequest(ctx context.Context, request *pgproto3.CancelRequest) {
	c := s.sessions.find(request.ProcessID, request.SecretKey)
	if c == nil {
		return
	}
	ctx, stop := context.WithTimeout(ctx, s.config.LoginTimeout)
	defer stop()
	c.handlerSession.Cancel(ctx)
}
