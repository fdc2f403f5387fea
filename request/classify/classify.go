// Package classify determines from the keywords of an SQL text where a request may run
// and which session features it needs. It scans keywords and does not parse: a SELECT
// counts as a read until a target refuses it as a write, and the statements of one text
// are handled as a unit.
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
	// KindOutsideTransaction runs on the primary and outside of a transaction block.
	KindOutsideTransaction
	// KindCopyIn is a write that reads data from the caller.
	KindCopyIn
	// KindBegin opens a transaction.
	KindBegin
	// KindCommit ends a transaction and keeps its changes.
	KindCommit
	// KindRollback ends a transaction and discards its changes.
	KindRollback
	// KindInTransaction is meaningful only inside a transaction.
	KindInTransaction
	// KindSet changes a setting of the session.
	KindSet
	// KindReset resets a setting of the session to its default.
	KindReset
	// KindDeallocate removes prepared statements.
	KindDeallocate
	// KindDiscard discards the state of the session.
	KindDiscard
	// KindUnsupported needs a session that stays on one target connection.
	KindUnsupported
)

// Statement is the classification of a text.
type Statement struct {
	Kind Kind
	// Multiple is set when the text contains several statements.
	Multiple bool
	// EndsTransaction is set when the last statement is a COMMIT or a ROLLBACK.
	EndsTransaction bool
	// MayChangeSettings is set for statements that may change settings of the session
	// in code that the scan does not see, such as procedures.
	MayChangeSettings bool
	// ReadOnly is set for a BEGIN with READ ONLY.
	ReadOnly bool
	// OnlyModes is set for a BEGIN that holds nothing but valid transaction modes.
	OnlyModes bool
	// Chain is set for a COMMIT or ROLLBACK with AND CHAIN.
	Chain bool
	// Idempotent is set when the text begins with IdempotentHint.
	Idempotent bool
	// Local is set for SET LOCAL.
	Local bool
	// Feature is the feature that an unsupported statement needs. Callers receive it.
	Feature string
	// Name is the setting or the prepared statement that a SET, RESET, SHOW, DISCARD or
	// DEALLOCATE names, in lower case unless quoted; "all" for all of them.
	Name string
	// Value is the text after the name of a SET.
	Value string
}

// IdempotentHint is the comment that marks a text that begins with it as idempotent: it
// may run twice.
const IdempotentHint = "/* samphirehitch: idempotent */"

// Scan classifies a text.
func Scan(text string) Statement {
	s := scanner{text: text}
	result := scanStatement(&s)
	if result.Kind == KindEmpty && s.offset >= len(s.text) {
		return result
	}
	for s.offset < len(s.text) {
		next := scanStatement(&s)
		if next.Kind != KindEmpty {
			result = joinText(result, next)
		}
	}
	result.Idempotent = strings.HasPrefix(strings.TrimLeft(text, " \t\r\n"), IdempotentHint)
	return result
}

// joinText returns the classification of two successive statements of one text.
func joinText(a, b Statement) Statement {
	if a.Kind == KindEmpty {
		return b
	}
	if a.Kind == KindUnsupported {
		return a
	}
	if b.Kind == KindUnsupported {
		return b
	}
	if feature := incompatibility(a, b); feature != "" {
		return unsupported(feature + " among several statements")
	}
	joined := Statement{Kind: KindWrite, Multiple: true, MayChangeSettings: a.MayChangeSettings || b.MayChangeSettings}
	switch {
	case b.Kind == KindCommit || b.Kind == KindRollback:
		joined.EndsTransaction = true
		if a.Kind == KindBegin {
			joined.Kind = KindOutsideTransaction
		}
	case a.Kind == KindBegin:
		joined.Kind = KindBegin
		joined.ReadOnly = a.ReadOnly
	case a.Kind == KindCopyIn || b.Kind == KindCopyIn:
		joined.Kind = KindCopyIn
	}
	return joined
}

// incompatibility returns what prevents two successive statements from being handled as
// a unit, or "".
func incompatibility(a, b Statement) string {
	switch {
	case isSessionCommand(a.Kind) || isSessionCommand(b.Kind):
		return "session command"
	case a.EndsTransaction || b.Chain:
		return "end of a transaction"
	case b.Kind == KindBegin:
		return "BEGIN"
	case a.Kind == KindOutsideTransaction || b.Kind == KindOutsideTransaction:
		return "statement outside of transactions"
	default:
		return ""
	}
}

func isSessionCommand(kind Kind) bool {
	return kind == KindSet || kind == KindReset || kind == KindDeallocate || kind == KindDiscard
}

func unsupported(feature string) Statement {
	return Statement{Kind: KindUnsupported, Feature: feature}
}

// scanStatement classifies one statement and advances the scanner past its semicolon.
func scanStatement(s *scanner) Statement {
	first := s.next()
	parenthesized := first.kind == tokenPunctuation && first.text == "("
	for first.kind == tokenPunctuation && first.text == "(" {
		first = s.next()
	}
	if first.kind == tokenEnd || first.text == ";" {
		return Statement{}
	}
	if first.kind != tokenWord {
		return skipStatement(s, Statement{Kind: KindWrite})
	}
	var word [maxKeywordLength]byte
	switch string(appendLower(word[:0], first.text)) {
	case "select", "with", "values", "table":
		return scanQuery(s)
	case "show":
		return scanWithName(s, KindRead)
	case "explain":
		return skipStatement(s, Statement{Kind: KindRead})
	case "copy":
		return scanCopy(s)
	case "begin", "start":
		result := scanBegin(s, first)
		result.OnlyModes = result.OnlyModes && !parenthesized
		return result
	case "commit", "end":
		return scanTransactionEnd(s, KindCommit)
	case "rollback", "abort":
		return scanTransactionEnd(s, KindRollback)
	case "savepoint", "release", "fetch", "move", "close":
		return skipStatement(s, Statement{Kind: KindInTransaction})
	case "lock":
		return skipStatement(s, Statement{Kind: KindInTransaction})
	case "declare":
		return scanDeclare(s)
	case "set":
		return scanSet(s)
	case "reset":
		return scanWithName(s, KindReset)
	case "deallocate":
		return scanWithName(s, KindDeallocate)
	case "discard":
		return scanWithName(s, KindDiscard)
	case "listen", "unlisten":
		return skipStatement(s, unsupported("LISTEN"))
	case "prepare":
		return skipStatement(s, unsupported("PREPARE"))
	case "execute":
		return skipStatement(s, unsupported("EXECUTE"))
	case "load":
		return skipStatement(s, unsupported("LOAD"))
	case "create", "drop", "alter", "reindex":
		return scanDDL(s)
	case "vacuum", "cluster":
		return skipStatement(s, Statement{Kind: KindOutsideTransaction})
	case "call", "do":
		return skipStatement(s, Statement{Kind: KindWrite, MayChangeSettings: true})
	default:
		return scanWrite(s)
	}
}

// skipStatement advances the scanner past the rest of the statement and returns result.
func skipStatement(s *scanner, result Statement) Statement {
	for {
		t := s.next()
		if t.kind == tokenEnd || t.text == ";" {
			return result
		}
	}
}

// JoinBatch returns the classification of two successive statements in one batch of the
// extended query protocol. Unlike several reads in one text, those of a batch remain a
// read.
func JoinBatch(a, b Statement) Statement {
	if a.Kind == KindRead && b.Kind == KindRead {
		return Statement{Kind: KindRead, Multiple: true}
	}
	if b.Kind == KindEmpty {
		return a
	}
	joined := joinText(a, b)
	joined.Idempotent = a.Idempotent && b.Idempotent
	return joined
}
