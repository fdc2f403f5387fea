package classify

import "strings"

// maxKeywordLength is at least the length in bytes of every keyword.
const maxKeywordLength = 32

// appendLower appends the lower-case form of a word. It appends nothing for a word that
// is longer than any keyword.
func appendLower(dst []byte, word string) []byte {
	if len(word) > maxKeywordLength {
		return dst
	}
	for i := range len(word) {
		c := word[i]
		if c >= 'A' && c <= 'Z' {
			c |= 0x20
		}
		dst = append(dst, c)
	}
	return dst
}

// isKeyword reports whether the token is the given keyword, in any case.
func (t token) isKeyword(keyword string) bool {
	return t.kind == tokenWord && strings.EqualFold(t.text, keyword)
}

// sessionFunction returns the feature that a function needs because it leaves state in
// the target's session, or "".
func sessionFunction(t token) string {
	if t.kind != tokenWord {
		return ""
	}
	var word [maxKeywordLength]byte
	switch string(appendLower(word[:0], t.text)) {
	case "pg_advisory_lock", "pg_advisory_lock_shared", "pg_try_advisory_lock",
		"pg_try_advisory_lock_shared", "pg_advisory_unlock",
		"pg_advisory_unlock_shared", "pg_advisory_unlock_all":
		return "session advisory lock"
	case "set_config":
		return "set_config"
	default:
		return ""
	}
}

// scanQuery classifies a query, after SELECT, WITH, VALUES or TABLE. Drivers that look
// for a writable server query pg_is_in_recovery() alone, and a replica's result would
// mislead them, so that query goes to the primary. In a query of a table the function is
// treated like any other.
func scanQuery(s *scanner) Statement {
	result := Statement{Kind: KindRead}
	previousFor := false
	previousInto := false
	readsRole, readsTable := false, false
	for {
		t := s.next()
		if t.kind == tokenEnd || t.text == ";" {
			if readsRole && !readsTable {
				result.Kind = KindWrite
			}
			return result
		}
		if feature := sessionFunction(t); feature != "" {
			return skipStatement(s, unsupported(feature))
		}
		readsRole = readsRole || t.isKeyword("pg_is_in_recovery")
		readsTable = readsTable || t.isKeyword("from")
		if previousInto && (t.isKeyword("temp") || t.isKeyword("temporary")) {
			return skipStatement(s, unsupported("temporary table"))
		}
		if isDataModification(t) || isTransactionLock(t) || t.isKeyword("into") || (previousFor && isLockStrength(t)) {
			result.Kind = KindWrite
		}
		previousFor = t.isKeyword("for")
		previousInto = t.isKeyword("into")
	}
}

// isDataModification reports whether the token is the keyword of a statement that
// changes data, as a WITH may contain.
func isDataModification(t token) bool {
	return t.isKeyword("insert") || t.isKeyword("update") || t.isKeyword("delete") || t.isKeyword("merge")
}

// isTransactionLock reports whether the token is a function for advisory locks of the
// transaction. These need the primary, because callers on different targets would not
// exclude each other.
func isTransactionLock(t token) bool {
	return t.isKeyword("pg_advisory_xact_lock") || t.isKeyword("pg_advisory_xact_lock_shared") ||
		t.isKeyword("pg_try_advisory_xact_lock") || t.isKeyword("pg_try_advisory_xact_lock_shared")
}

// isLockStrength reports whether the token may follow FOR in a locking clause.
func isLockStrength(t token) bool {
	return t.isKeyword("update") || t.isKeyword("share") || t.isKeyword("no") || t.isKeyword("key")
}

// scanWrite classifies a statement that is not known to be a read.
func scanWrite(s *scanner) Statement {
	for {
		t := s.next()
		if t.kind == tokenEnd || t.text == ";" {
			return Statement{Kind: KindWrite}
		}
		if feature := sessionFunction(t); feature != "" {
			return skipStatement(s, unsupported(feature))
		}
	}
}

// scanCopy classifies COPY by its direction, the first FROM or TO outside of
// parentheses. It does not distinguish STDIN from a file.
func scanCopy(s *scanner) Statement {
	depth := 0
	for {
		t := s.next()
		switch {
		case t.kind == tokenEnd || t.text == ";":
			return Statement{Kind: KindWrite}
		case t.text == "(":
			depth++
		case t.text == ")":
			depth--
		case depth == 0 && t.isKeyword("from"):
			return skipStatement(s, Statement{Kind: KindCopyIn})
		case depth == 0 && t.isKeyword("to"):
			return skipStatement(s, Statement{Kind: KindRead})
		}
	}
}

// scanBegin classifies a statement after BEGIN or START and looks for READ ONLY among
// its modes.
func scanBegin(s *scanner, first token) Statement {
	result := Statement{Kind: KindBegin}
	var modes transactionModes
	previousRead := false
	for {
		t := s.next()
		if t.kind == tokenEnd || t.text == ";" {
			result.OnlyModes = modes.isValid(first)
			return result
		}
		if previousRead {
			result.ReadOnly = t.isKeyword("only")
		}
		previousRead = t.isKeyword("read")
		modes.add(t)
	}
}

// scanTransactionEnd classifies a statement after COMMIT, END, ROLLBACK or ABORT. With
// TO it is a rollback to a savepoint, which does not end the transaction.
func scanTransactionEnd(s *scanner, kind Kind) Statement {
	result := Statement{Kind: kind, EndsTransaction: true}
	previousNo := false
	for {
		t := s.next()
		switch {
		case t.kind == tokenEnd || t.text == ";":
			return result
		case t.isKeyword("prepared"):
			return skipStatement(s, unsupported("two-phase commit"))
		case t.isKeyword("to"):
			result = Statement{Kind: KindInTransaction}
		case t.isKeyword("chain"):
			result.Chain = !previousNo
		}
		previousNo = t.isKeyword("no")
	}
}

// scanDeclare classifies DECLARE. Cursors that outlive their transaction are
// unsupported.
func scanDeclare(s *scanner) Statement {
	previousWith := false
	for {
		t := s.next()
		if t.kind == tokenEnd || t.text == ";" {
			return Statement{Kind: KindInTransaction}
		}
		if previousWith && t.isKeyword("hold") {
			return skipStatement(s, unsupported("cursor WITH HOLD"))
		}
		previousWith = t.isKeyword("with")
	}
}

// scanDDL classifies a statement after CREATE, DROP, ALTER or REINDEX. Some forms cannot
// run in a transaction block; they are recognized by their first words.
func scanDDL(s *scanner) Statement {
	result := Statement{Kind: KindWrite}
	inModifiers := true
	for words := 0; ; words++ {
		t := s.next()
		switch {
		case t.kind == tokenEnd || t.text == ";":
			return result
		case inModifiers && (t.isKeyword("temp") || t.isKeyword("temporary")):
			return skipStatement(s, unsupported("temporary table"))
		case words < 1 && (t.isKeyword("database") || t.isKeyword("tablespace") || t.isKeyword("system") || t.isKeyword("subscription")):
			result.Kind = KindOutsideTransaction
		case words < 3 && t.isKeyword("concurrently"):
			result.Kind = KindOutsideTransaction
		}
		inModifiers = inModifiers && (t.isKeyword("or") || t.isKeyword("replace") || t.isKeyword("local") || t.isKeyword("global"))
	}
}

// scanSet classifies SET [SESSION | LOCAL] name. The rest of the statement is the value.
func scanSet(s *scanner) Statement {
	result := Statement{Kind: KindSet}
	t := s.next()
	if t.isKeyword("local") {
		result.Local = true
		t = s.next()
	} else if t.isKeyword("session") {
		t = s.next()
	}
	if t.isKeyword("transaction") {
		return skipStatement(s, Statement{Kind: KindInTransaction})
	}
	if t.isKeyword("characteristics") || t.isKeyword("role") || t.isKeyword("authorization") {
		return skipStatement(s, unsupported("SET "+strings.ToUpper(t.text)))
	}
	result.Name = settingName(s, t)
	first := t
	start := s.offset
	for {
		end := s.offset
		t = s.next()
		if t.kind == tokenEnd || t.text == ";" {
			result.Value = settingValue(first, strings.TrimSpace(s.text[start:end]))
			return result
		}
	}
}

// settingValue returns the value of a setting. SET TIME ZONE, which has no TO, is given
// the form of other settings.
func settingValue(first token, value string) string {
	switch {
	case !first.isKeyword("time"):
		return value
	case strings.EqualFold(value, "local"):
		return "TO DEFAULT"
	default:
		return "TO " + value
	}
}

// scanWithName classifies a statement that names one setting or prepared statement.
func scanWithName(s *scanner, kind Kind) Statement {
	t := s.next()
	if t.isKeyword("prepare") {
		t = s.next()
	}
	result := Statement{Kind: kind}
	if t.kind == tokenEnd || t.text == ";" {
		return result
	}
	result.Name = settingName(s, t)
	return skipStatement(s, result)
}

// settingName scans a name that begins with the token first and may have several parts,
// separated by dots. TIME ZONE is the setting timezone.
func settingName(s *scanner, first token) string {
	if first.isKeyword("time") {
		s.next()
		return "timezone"
	}
	name := unquotedName(first)
	for s.offset < len(s.text) && s.text[s.offset] == '.' {
		s.offset++
		name += "." + unquotedName(s.next())
	}
	return name
}

// unquotedName returns a quoted name without its quotes and any other in lower case.
func unquotedName(t token) string {
	if t.kind == tokenQuotedName {
		return strings.ReplaceAll(strings.Trim(t.text, `"`), `""`, `"`)
	}
	return strings.ToLower(t.text)
}
