package execute

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"samphirehitch.example/samphirehitch/connection/caller"
	"samphirehitch.example/samphirehitch/connection/session"
	"samphirehitch.example/samphirehitch/request/classify"
	"samphirehitch.example/samphirehitch/request/refusal"
)

// stepKind is the message of the extended query protocol that a step answers.
type stepKind uint8

const (
	stepParse stepKind = iota + 1
	stepBind
	stepDescribeStatement
	stepDescribePortal
	stepExecute
	stepClose
)

// step is one message of an extended batch.
type step struct {
	kind    stepKind
	message pgproto3.FrontendMessage
	// statement is the prepared statement of a Parse, a Bind or a Describe.
	statement session.Statement
	// name is the caller's name of the statement that is parsed or closed.
	name string
}

// plan is what is known of a batch before it runs.
type plan struct {
	batch     *caller.Batch
	statement classify.Statement
	// text is the text of the only statement, or of the first.
	text  string
	steps []step
}

// newPlan classifies a batch and checks it against the session's prepared
// statements. It returns a *refusal.Refusal for a batch that cannot run.
func newPlan(s *session.Session, batch *caller.Batch) (*plan, error) {
	p := &plan{batch: batch}
	if batch.Query != nil {
		p.text = batch.Query.String
		p.statement = classify.Scan(p.text)
		return p, p.check()
	}
	builder := planBuilder{plan: p, session: s}
	for _, message := range batch.Messages {
		if err := builder.add(message); err != nil {
			return nil, err
		}
	}
	if p.statement.Kind == classify.KindCopyIn {
		p.statement = classify.Statement{Kind: classify.KindUnsupported, Feature: "COPY FROM STDIN by the extended query protocol"}
	}
	return p, p.check()
}

// check refuses what transaction pooling cannot serve.
func (p *plan) check() error {
	if p.statement.Kind != classify.KindUnsupported {
		return nil
	}
	r := refusal.New(refusal.Unsupported, refusal.StepClassify, "", nil)
	r.Reason = p.statement.Feature
	return r
}

// planBuilder walks over an extended batch and follows the names that it
// defines.
type planBuilder struct {
	plan    *plan
	session *session.Session
	// statements holds those that the batch parses or closes; nil when closed.
	statements map[string]*session.Statement
	portals    map[string]session.Statement
}

func (b *planBuilder) add(message pgproto3.FrontendMessage) error {
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
		return refusal.New(refusal.Protocol, refusal.StepDecode, "", nil)
	}
}

func (b *planBuilder) append(s step) { b.plan.steps = append(b.plan.steps, s) }

// lookup finds a statement by the caller's name.
func (b *planBuilder) lookup(name string) (session.Statement, bool) {
	if statement, changed := b.statements[name]; changed {
		if statement == nil {
			return session.Statement{}, false
		}
		return *statement, true
	}
	return b.session.Statements.Get(name)
}

func (b *planBuilder) define(name string, statement *session.Statement) {
	if b.statements == nil {
		b.statements = make(map[string]*session.Statement)
	}
	b.statements[name] = statement
}

func (b *planBuilder) addParse(message *pgproto3.Parse) error {
	if _, taken := b.lookup(message.Name); taken && message.Name != "" {
		return refusal.New(refusal.DuplicateStatement, refusal.StepClassify, "", nil)
	}
	if scanned := classify.Scan(message.Query); scanned.Kind == classify.KindUnsupported {
		r := refusal.New(refusal.Unsupported, refusal.StepClassify, "", nil)
		r.Reason = scanned.Feature
		return r
	}
	if !b.session.Statements.Fits(message.Query) {
		return refusal.New(refusal.TooMuchState, refusal.StepClassify, "", nil)
	}
	statement := session.NewStatement(message.Query, message.ParameterOIDs)
	b.define(message.Name, &statement)
	rewritten := *message
	rewritten.Name = statement.Internal
	b.append(step{kind: stepParse, message: &rewritten, statement: statement, name: message.Name})
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
	rewritten.PreparedStatement = statement.Internal
	b.append(step{kind: stepBind, message: &rewritten, statement: statement})
	return nil
}

func (b *planBuilder) addDescribe(message *pgproto3.Describe) error {
	if message.ObjectType != 'S' {
		b.append(step{kind: stepDescribePortal, message: message})
		return nil
	}
	statement, ok := b.lookup(message.Name)
	if !ok {
		return refusal.New(refusal.UnknownStatement, refusal.StepClassify, "", nil)
	}
	rewritten := *message
	rewritten.Name = statement.Internal
	b.append(step{kind: stepDescribeStatement, message: &rewritten, statement: statement})
	return nil
}

// addExecute joins the statement of the portal to what the batch runs. A portal
// of an earlier batch belongs to an open transaction.
func (b *planBuilder) addExecute(message *pgproto3.Execute) error {
	b.append(step{kind: stepExecute, message: message})
	statement, ok := b.portals[message.Portal]
	scanned := classify.Statement{Kind: classify.KindInTransaction}
	if ok {
		scanned = classify.Scan(statement.Query)
	}
	if b.plan.statement.Kind == classify.KindEmpty {
		b.plan.statement = scanned
		b.plan.text = statement.Query
		return nil
	}
	b.plan.statement = classify.Join(b.plan.statement, scanned)
	return nil
}

// addClose forgets a statement. Targets keep theirs, since other sessions may
// use it.
func (b *planBuilder) addClose(message *pgproto3.Close) {
	if message.ObjectType == 'S' {
		b.define(message.Name, nil)
		b.append(step{kind: stepClose, name: message.Name})
		return
	}
	b.append(step{kind: stepClose, message: message})
}
