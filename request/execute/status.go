package execute

import (
	"samphirehitch.example/samphirehitch/connection/upstream"
	"samphirehitch.example/samphirehitch/request/classify"
	"samphirehitch.example/samphirehitch/request/refusal"
)

// checkStatus checks that the transaction status after the batch can follow from it.
// Otherwise the response is that of another statement, or the target has ended the
// transaction by itself: then what ran in it is in doubt.
func (e *batchExchange) checkStatus() error {
	conn := e.pipeline.conn
	after := conn.Status()
	if e.statusCanBe(after) {
		return nil
	}
	err := e.pipeline.protocolError("transaction status does not match the request")
	if e.statusBefore == statusInTransaction && after == statusIdle {
		return refusal.New(refusal.OutcomeUnknown, refusal.StepExchange, string(conn.Target()), err)
	}
	return err
}

// statusCanBe reports whether the status can be the one after the batch.
func (e *batchExchange) statusCanBe(after upstream.TransactionStatus) bool {
	statement, before := &e.plan.statement, e.statusBefore
	endsTransaction := statement.Kind == classify.KindCommit || statement.Kind == classify.KindRollback
	switch {
	case statement.Kind == classify.KindOutsideTransaction && e.errorCode == "":
		return after == statusIdle
	case statement.Multiple:
		return true
	case endsTransaction && statement.Chain && e.errorCode == "":
		return after == statusInTransaction
	case endsTransaction:
		return after == statusIdle
	case e.errorCode != "" && before != statusIdle:
		return after == statusFailed
	case e.errorCode != "":
		return after == statusIdle
	case statement.Kind == classify.KindBegin:
		return after == statusInTransaction
	case before == statusFailed:
		return after != statusIdle
	default:
		return after == before || (statement.MayChangeSettings && after == statusIdle)
	}
}
