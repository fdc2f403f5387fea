package caller

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"
)

// cancel passes a cancel request to the session that it names. A request with a
// wrong secret has no effect and no answer, as the protocol has it. Only
// sessions of this instance are known.
func (s *Server) cancel(ctx context.Context, request *pgproto3.CancelRequest) {
	c := s.sessions.find(request.ProcessID, request.SecretKey)
	if c == nil {
		return
	}
	ctx, stop := context.WithTimeout(ctx, s.config.LoginTimeout)
	defer stop()
	c.conversation.Cancel(ctx)
}
