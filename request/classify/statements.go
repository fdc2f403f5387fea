package classify

import "strings"

// longestKeyword is the length of the longest word that the scan compares.
const longestKeyword = 32

// lower appends the lower-case form of a word, cut to the capacity of dst: a
// longer word equals no keyword.
func lower(dst []byte, word string) []byte {
	if len(word) > longestKeyword {
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

// is reports whether the token is the keyword, given in lower case.
func (t token) is(keyword string) bool {
	return t.kind == tokenWord && strings.EqualFold(t.text, keyword)
}

// sessionFunction names the feature that a function needs when it leaves state
// in the target's session, or returns "".
func sessionFunction(t token) string {
	if t.kind != tokenWord {
		return ""
	}
	var word [longestKeyword]byte
	switch string(lower(word[:0], t.text)) {
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

// scanQuery classifies what follows SELECT, WITH, VALUES or TABLE. Drivers that
// look for a writable server ask pg_is_in_recovery() alone, which a replica's
// answer would mislead; beside a table it is a part of a read like any other.
func scanQuery(s *scanner) Statement {
	result := Statement{Kind: KindRead}
	previousFor := false
	previousInto := false
	asksRole, readsTable := false, false
	for {
		t := s.next()
		if t.kind == tokenEnd || t.text == ";" {
			if asksRole && !readsTable {
				result.Kind = KindWrite
			}
			return result
		}
		if feature := sessionFunction(t); feature != "" {
			return finish(s, unsupported(feature))
		}
		asksRole = asksRole || t.is("pg_is_in_recovery")
		readsTable = readsTable || t.is("from")
		if previousInto && (t.is("temp") || t.is("temporary")) {
			return finish(s, unsupported("temporary table"))
		}
		if isModification(t) || isForPrimary(t) || t.is("into") || (previousFor && isLock(t)) {
			result.Kind = KindWrite
		}
		previousFor = t.is("for")
		previousInto = t.is("into")
	}
}

// isModification reports the keywords of statements that change data, which
// may stand inside a WITH.
func isModification(t token) bool {
	return t.is("insert") || t.is("update") || t.is("delete") || t.is("merge")
}

// isForPrimary reports the advisory locks of a transaction, which callers of
// other targets don't share.
func isForPrimary(t token) bool {
	return t.is("pg_advisory_xact_lock") || t.is("pg_advisory_xact_lock_shared") ||
		t.is("pg_try_advisory_xact_lock") || t.is("pg_try_advisory_xact_lock_shared")
}

// isLock reports the words that follow FOR in a locking clause.
func isLock(t token) bool {
	return t.is("update") || t.is("share") || t.is("no") || t.is("key")
}

// scanWrite classifies a statement that is not known to be a read.
func scanWrite(s *scanner) Statement {
	for {
		t := s.next()
		if t.kind == tokenEnd || t.text == ";" {
			return Statement{Kind: KindWrite}
		}
		if feature := sessionFunction(t); feature != "" {
			return finish(s, unsupported(feature))
		}
	}
}

// scanCopy tells COPY FROM STDIN, COPY FROM a file and COPY TO apart. The
// direction is the first FROM or TO outside of parentheses.
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
		case depth == 0 && t.is("from"):
			return finish(s, Statement{Kind: KindCopyIn})
		case depth == 0 && t.is("to"):
			return finish(s, Statement{Kind: KindRead})
		}
	}
}

// scanBegin looks for READ ONLY among the modes of a transaction.
func scanBegin(s *scanner) Statement {
	result := Statement{Kind: KindBegin, Plain: true}
	previousRead := false
	for {
		t := s.next()
		if t.kind == tokenEnd || t.text == ";" {
			return result
		}
		if previousRead {
			result.ReadOnly = t.is("only")
		}
		previousRead = t.is("read")
		result.Plain = result.Plain && isMode(t)
	}
}

// isMode reports the words of a transaction's modes.
func isMode(t token) bool {
	var word [longestKeyword]byte
	switch string(lower(word[:0], t.text)) {
	case "work", "transaction", "isolation", "level", "serializable", "repeatable", "read",
		"committed", "uncommitted", "only", "write", "not", "deferrable", ",":
		return t.kind == tokenWord || t.kind == tokenPunctuation
	default:
		return false
	}
}

// scanEnd classifies what follows COMMIT, END, ROLLBACK or ABORT.
func scanEnd(s *scanner, kind Kind) Statement {
	result := Statement{Kind: kind, Ends: true}
	previousNo := false
	for {
		t := s.next()
		switch {
		case t.kind == tokenEnd || t.text == ";":
			return result
		case t.is("prepared"):
			return finish(s, unsupported("two-phase commit"))
		case t.is("to"):
			result = Statement{Kind: KindInTransaction}
		case t.is("chain"):
			result.Chain = !previousNo
		}
		previousNo = t.is("no")
	}
}

// scanDeclare refuses cursors that outlive their transaction.
func scanDeclare(s *scanner) Statement {
	previousWith := false
	for {
		t := s.next()
		if t.kind == tokenEnd || t.text == ";" {
			return Statement{Kind: KindInTransaction}
		}
		if previousWith && t.is("hold") {
			return finish(s, unsupported("cursor WITH HOLD"))
		}
		previousWith = t.is("with")
	}
}

// scanDefinition classifies what follows CREATE, DROP, ALTER or REINDEX.
func scanDefinition(s *scanner) Statement {
	result := Statement{Kind: KindWrite}
	modifiers := true
	for words := 0; ; words++ {
		t := s.next()
		switch {
		case t.kind == tokenEnd || t.text == ";":
			return result
		case modifiers && (t.is("temp") || t.is("temporary")):
			return finish(s, unsupported("temporary table"))
		case words < 1 && (t.is("database") || t.is("tablespace") || t.is("system") || t.is("subscription")):
			result.Kind = KindBare
		case words < 3 && t.is("concurrently"):
			result.Kind = KindBare
		}
		modifiers = modifiers && (t.is("or") || t.is("replace") || t.is("local") || t.is("global"))
	}
}

// scanSet reads SET [SESSION | LOCAL] name and keeps the rest as the value.
func scanSet(s *scanner) Statement {
	result := Statement{Kind: KindSet}
	t := s.next()
	if t.is("local") {
		result.Local = true
		t = s.next()
	} else if t.is("session") {
		t = s.next()
	}
	if t.is("transaction") {
		return finish(s, Statement{Kind: KindInTransaction})
	}
	if t.is("characteristics") || t.is("role") || t.is("authorization") {
		return finish(s, unsupported("SET "+strings.ToUpper(t.text)))
	}
	result.Name = settingName(s, t)
	named := t
	start := s.at
	for {
		end := s.at
		t = s.next()
		if t.kind == tokenEnd || t.text == ";" {
			result.Value = settingValue(named, strings.TrimSpace(s.text[start:end]))
			return result
		}
	}
}

// settingValue brings SET TIME ZONE into the form of other settings.
func settingValue(named token, value string) string {
	switch {
	case !named.is("time"):
		return value
	case strings.EqualFold(value, "local"):
		return "TO DEFAULT"
	default:
		return "TO " + value
	}
}

// scanName reads the one name that a statement carries.
func scanName(s *scanner, kind Kind) Statement {
	t := s.next()
	if t.is("prepare") {
		t = s.next()
	}
	result := Statement{Kind: kind}
	if t.kind == tokenEnd || t.text == ";" {
		return result
	}
	result.Name = settingName(s, t)
	return finish(s, result)
}

// settingName reads a name that may have parts divided by dots; "TIME ZONE" is
// the setting timezone.
func settingName(s *scanner, first token) string {
	if first.is("time") {
		s.next()
		return "timezone"
	}
	name := nameText(first)
	for s.at < len(s.text) && s.text[s.at] == '.' {
		s.at++
		name += "." + nameText(s.next())
	}
	return name
}

func nameText(t token) string {
	if t.kind == tokenQuotedName {
		return strings.ReplaceAll(strings.Trim(t.text, `"`), `""`, `"`)
	}
	return strings.ToLower(t.text)
}
