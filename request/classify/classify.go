// Package classify tells from the keywords of an SQL text how a request has to
// be handled: where it may run and which features of a session it needs. It is
// a keyword scan and no parser: a SELECT counts as a read until a target
// refuses it as a write, and a text of several statements is handled as one
// piece.
package classify

import "strings"

// Kind is how a statement is handled.
type Kind uint8

// Kinds of statements.
const (
	// KindEmpty is a text without a statement.
	KindEmpty Kind = iota
	// KindRead may run on a replica.
	KindRead
	// KindWrite runs on the primary within a transaction.
	KindWrite
	// KindBare runs on the primary and outside of any transaction block.
	KindBare
	// KindCopyIn is a write that takes data from the caller.
	KindCopyIn
	// KindBegin opens a transaction.
	KindBegin
	// KindCommit ends a transaction and keeps its changes.
	KindCommit
	// KindRollback ends a transaction and drops its changes.
	KindRollback
	// KindInTransaction only has a meaning inside a transaction.
	KindInTransaction
	// KindSet changes a setting of the session.
	KindSet
	// KindReset sets a setting of the session back.
	KindReset
	// KindDeallocate forgets prepared statements.
	KindDeallocate
	// KindDiscard forgets the state of the session.
	KindDiscard
	// KindUnsupported needs a session that stays on one target connection.
	KindUnsupported
)

// Statement is what the scan found in a text.
type Statement struct {
	Kind Kind
	// Multiple is set when the text holds several statements.
	Multiple bool
	// Ends is set when the last statement is a COMMIT or a ROLLBACK.
	Ends bool
	// Dirty is set for statements that may leave settings behind unseen.
	Dirty bool
	// ReadOnly is set for a BEGIN with READ ONLY.
	ReadOnly bool
	// Plain is set for a BEGIN that has no words but those of its modes.
	Plain bool
	// Chain is set for a COMMIT or ROLLBACK with AND CHAIN.
	Chain bool
	// Idempotent is set when a leading comment says that the statement may run
	// twice.
	Idempotent bool
	// Local is set for SET LOCAL.
	Local bool
	// Feature names what an unsupported statement needs.
	Feature string
	// Name is the setting or the prepared statement that a SET, RESET, SHOW,
	// DISCARD or DEALLOCATE names, in lower case; "all" for all of them.
	Name string
	// Value is the text after the name of a SET.
	Value string
}

// IdempotentHint is the comment that marks a statement as idempotent when the
// text begins with it.
const IdempotentHint = "/* samphirehitch: idempotent */"

// Scan classifies a text.
func Scan(text string) Statement {
	s := scanner{text: text}
	result := scanOne(&s)
	if result.Kind == KindEmpty && s.at >= len(s.text) {
		return result
	}
	for s.at < len(s.text) {
		following := scanOne(&s)
		if following.Kind != KindEmpty {
			result = combine(result, following)
		}
	}
	result.Idempotent = strings.HasPrefix(strings.TrimLeft(text, " \t\r\n"), IdempotentHint)
	return result
}

// combine joins the results of two statements of one text.
func combine(a, b Statement) Statement {
	if a.Kind == KindEmpty {
		return b
	}
	if a.Kind == KindUnsupported {
		return a
	}
	if b.Kind == KindUnsupported {
		return b
	}
	if feature := stranger(a, b); feature != "" {
		return unsupported(feature + " among several statements")
	}
	joined := Statement{Kind: KindWrite, Multiple: true, Dirty: a.Dirty || b.Dirty}
	switch {
	case b.Kind == KindCommit || b.Kind == KindRollback:
		joined.Ends = true
		if a.Kind == KindBegin {
			joined.Kind = KindBare
		}
	case a.Kind == KindBegin:
		joined.Kind = KindBegin
		joined.ReadOnly = a.ReadOnly
	case a.Kind == KindCopyIn || b.Kind == KindCopyIn:
		joined.Kind = KindCopyIn
	}
	return joined
}

// stranger names what keeps two statements from being handled as one piece, or
// returns "".
func stranger(a, b Statement) string {
	switch {
	case isSession(a.Kind) || isSession(b.Kind):
		return "session command"
	case a.Ends || b.Chain:
		return "end of a transaction"
	case b.Kind == KindBegin:
		return "BEGIN"
	case a.Kind == KindBare || b.Kind == KindBare:
		return "statement outside of transactions"
	default:
		return ""
	}
}

func isSession(k Kind) bool {
	return k == KindSet || k == KindReset || k == KindDeallocate || k == KindDiscard
}

func unsupported(feature string) Statement {
	return Statement{Kind: KindUnsupported, Feature: feature}
}

// scanOne classifies one statement and leaves the scanner behind its semicolon.
func scanOne(s *scanner) Statement {
	first := s.next()
	for first.kind == tokenPunctuation && first.text == "(" {
		first = s.next()
	}
	if first.kind == tokenEnd || first.text == ";" {
		return Statement{}
	}
	if first.kind != tokenWord {
		return finish(s, Statement{Kind: KindWrite})
	}
	var word [longestKeyword]byte
	switch string(lower(word[:0], first.text)) {
	case "select", "with", "values", "table":
		return scanQuery(s)
	case "show":
		return scanName(s, KindRead)
	case "explain":
		return finish(s, Statement{Kind: KindRead})
	case "copy":
		return scanCopy(s)
	case "begin", "start":
		return scanBegin(s)
	case "commit", "end":
		return scanEnd(s, KindCommit)
	case "rollback", "abort":
		return scanEnd(s, KindRollback)
	case "savepoint", "release", "fetch", "move", "close":
		return finish(s, Statement{Kind: KindInTransaction})
	case "lock":
		return finish(s, Statement{Kind: KindInTransaction})
	case "declare":
		return scanDeclare(s)
	case "set":
		return scanSet(s)
	case "reset":
		return scanName(s, KindReset)
	case "deallocate":
		return scanName(s, KindDeallocate)
	case "discard":
		return scanName(s, KindDiscard)
	case "listen", "unlisten":
		return finish(s, unsupported("LISTEN"))
	case "prepare":
		return finish(s, unsupported("PREPARE"))
	case "execute":
		return finish(s, unsupported("EXECUTE"))
	case "load":
		return finish(s, unsupported("LOAD"))
	case "create", "drop", "alter", "reindex":
		return scanDefinition(s)
	case "vacuum", "cluster":
		return finish(s, Statement{Kind: KindBare})
	case "call", "do":
		return finish(s, Statement{Kind: KindWrite, Dirty: true})
	default:
		return scanWrite(s)
	}
}

// finish passes the rest of the statement.
func finish(s *scanner, result Statement) Statement {
	for {
		t := s.next()
		if t.kind == tokenEnd || t.text == ";" {
			return result
		}
	}
}

// Join joins the classification of two statements that are executed in one
// batch of the extended query protocol.
func Join(a, b Statement) Statement {
	if a.Kind == KindRead && b.Kind == KindRead {
		return Statement{Kind: KindRead, Multiple: true}
	}
	if b.Kind == KindEmpty {
		return a
	}
	joined := combine(a, b)
	joined.Idempotent = a.Idempotent && b.Idempotent
	return joined
}
