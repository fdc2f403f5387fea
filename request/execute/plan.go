package execute

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"samphirehitch.example/samphirehitch/connection/caller"
	"samphirehitch.example/samphirehitch/connection/session"
	"samphirehitch.example/samphirehitch/request/classify"
	"samphirehitch.example/samphirehitch/request/refusal"
)

// stepKind is the kind of an extended query message. Describe has one kind for
// statements and one for portals.
type stepKind uint8

const (
	stepParse stepKind = iota + 1
	stepBind
	stepDescribeStatement
	stepDescribePortal
	stepExecute
	stepClose
)

// batchStep is one message of a batch of extended query messages.
type batchStep struct {
	kind stepKind
	// message is sent to the target. Statement names in it are replaced by the
	// names that targets use. It is nil for the Close of a statement, which is
	// not sent.
	message pgproto3.FrontendMessage
	// statement is the prepared statement of a Parse, a Bind or a Describe.
	statement session.Statement
	// callerName is the caller's name of the statement that is parsed or closed.
	callerName string
}

// batchPlan is a classified batch with the messages to send for it.
type batchPlan struct {
	batch *caller.Batch
	// statement classifies all that the batch executes.
	statement classify.Statement
	// text is the text of the Query, or of the first statement that an extended
	// batch executes.
	text string
	// steps are the messages of an extended batch.
	steps []batchStep
}

// newPlan classifies a batch and resolves the names of its prepared statements.
// It returns a *refusal.Refusal for a batch that cannot run.
func newPlan(s *session.Session, batch *caller.Batch) (*batchPlan, error) {
	p := &batchPlan{batch: batch}
	if batch.Query != nil {
		p.text = batch.Query.String
		p.statement = classify.Scan(p.text)
		return p, p.checkSupported()
	}
	builder := planBuilder{plan: p, session: s}
	for _, message := range batch.Messages {
		if err := builder.addMessage(message); err != nil {
			return nil, err
		}
	}
	if p.statement.Kind == classify.KindCopyIn {
		p.statement = classify.Statement{Kind: classify.KindUnsupported, Feature: "COPY FROM STDIN by the extended query protocol"}
	}
	return p, p.checkSupported()
}

// checkSupported returns a refusal for a batch that needs a session of its own
// on a target, which transaction pooling cannot offer, else nil.
func (p *batchPlan) checkSupported() error {
	if p.statement.Kind != classify.KindUnsupported {
		return nil
	}
	refused := refusal.New(refusal.Unsupported, refusal.StepClassify, "", nil)
	refused.Reason = p.statement.Feature
	return refused
}

// planBuilder builds the plan of an extended batch, message by message. It
// tracks the statements and portals that the batch itself defines.
type planBuilder struct {
	plan    *batchPlan
	session *session.Session
	// statements are the statements that the batch parses or closes, by the
	// caller's name. Closed ones are nil.
	statements map[string]*session.Statement
	// portals are the statements that the batch binds, by portal name.
	portals map[string]session.Statement
}

// addMessage adds one message, or returns a refusal when the batch cannot run
// with it.
func (b *planBuilder) addMessage(message pgproto3.FrontendMessage) error {
	switch message := message.(type) {
	case *pgproto3.Parse:
		return b.addParse(message)
	case *pgproto3.Bind:
		return b.addBind(message)
	case *pgproto3.Describe:
		return b.addDescribe(message)
	case *pgproto3.Execute:
		return b.addExecute(message)
	case *pgproto3.Close:
		b.addClose(message)
		return nil
	default:
		return refusal.New(refusal.ProtocolViolation, refusal.StepDecode, "", nil)
	}
}

func (b *planBuilder) appendStep(step batchStep) {
	b.plan.steps = append(b.plan.steps, step)
}

// lookup returns the statement that the caller's name stands for at this point
// of the batch.
func (b *planBuilder) lookup(name string) (session.Statement, bool) {
	if statement, changed := b.statements[name]; changed {
		if statement == nil {
			return session.Statement{}, false
		}
		return *statement, true
	}
	return b.session.Statements.Get(name)
}

// setStatement records that the batch parses a statement, or closes it when
// nil.
func (b *planBuilder) setStatement(name string, statement *session.Statement) {
	if b.statements == nil {
		b.statements = make(map[string]*session.Statement)
	}
	b.statements[name] = statement
}

// addParse checks the statement that the caller prepares. On targets it gets a
// name that is derived from its text and parameter types, since sessions share
// target connections.
func (b *planBuilder) addParse(message *pgproto3.Parse) error {
	if _, exists := b.lookup(message.Name); exists && message.Name != "" {
		return refusal.New(refusal.DuplicateStatement, refusal.StepClassify, "", nil)
	}
	if classified := classify.Scan(message.Query); classified.Kind == classify.KindUnsupported {
		refused := refusal.New(refusal.Unsupported, refusal.StepClassify, "", nil)
		refused.Reason = classified.Feature
		return refused
	}
	if !b.session.Statements.HasRoomFor(message.Query) {
		return refusal.New(refusal.TooManyStatements, refusal.StepClassify, "", nil)
	}
	statement := session.NewStatement(message.Query, message.ParameterOIDs)
	b.setStatement(message.Name, &statement)
	rewritten := *message
	rewritten.Name = statement.TargetName
	b.appendStep(batchStep{kind: stepParse, message: &rewritten, statement: statement, callerName: message.Name})
	return nil
}

func (b *planBuilder) addBind(message *pgproto3.Bind) error {
	statement, ok := b.lookup(message.PreparedStatement)
	if !ok {
		return refusal.New(refusal.UnknownStatement, refusal.StepClassify, "", nil)
	}
	if b.portals == nil {
		b.portals = make(map[string]session.Statement)
	}
	b.portals[message.DestinationPortal] = statement
	rewritten := *message
	rewritten.PreparedStatement = statement.TargetName
	b.appendStep(batchStep{kind: stepBind, message: &rewritten, statement: statement})
	return nil
}

func (b *planBuilder) addDescribe(message *pgproto3.Describe) error {
	if message.ObjectType != 'S' {
		b.appendStep(batchStep{kind: stepDescribePortal, message: message})
		return nil
	}
	statement, ok := b.lookup(message.Name)
	if !ok {
		return refusal.New(refusal.UnknownStatement, refusal.StepClassify, "", nil)
	}
	rewritten := *message
	rewritten.Name = statement.TargetName
	b.appendStep(batchStep{kind: stepDescribeStatement, message: &rewritten, statement: statement})
	return nil
}

// addExecute adds the portal's statement to the classification of the batch. A
// portal that this batch did not bind exists only within an open transaction.
func (b *planBuilder) addExecute(message *pgproto3.Execute) error {
	b.appendStep(batchStep{kind: stepExecute, message: message})
	statement, ok := b.portals[message.Portal]
	classified := classify.Statement{Kind: classify.KindInTransaction}
	if ok {
		classified = classify.Scan(statement.Query)
	}
	if b.plan.statement.Kind == classify.KindEmpty {
		b.plan.statement = classified
		b.plan.text = statement.Query
		return nil
	}
	b.plan.statement = classify.JoinBatch(b.plan.statement, classified)
	return nil
}

// addClose removes a statement from the session. The Close is not sent, since
// sessions with an equal statement share it on the target connection. The Close
// of a portal is sent.
func (b *planBuilder) addClose(message *pgproto3.Close) {
	if message.ObjectType == 'S' {
		b.setStatement(message.Name, nil)
		b.appendStep(batchStep{kind: stepClose, callerName: message.Name})
		return
	}
	b.appendStep(batchStep{kind: stepClose, message: message})
}
