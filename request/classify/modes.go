package classify

// maxModeTokens bounds the tokens of a BEGIN whose modes are checked.
const maxModeTokens = 24

// transactionModes are the tokens of a BEGIN or START after the first. A statement that a
// target refuses must not be put off, since others are sent behind it.
type transactionModes struct {
	tokens [maxModeTokens]token
	count  int
	// tooMany is set once a token was dropped.
	tooMany bool
}

func (m *transactionModes) add(t token) {
	if m.count == maxModeTokens {
		m.tooMany = true
		return
	}
	m.tokens[m.count] = t
	m.count++
}

// validModes are the transaction modes of the PostgreSQL documentation (BEGIN).
var validModes = [][]string{
	{"isolation", "level", "serializable"}, {"isolation", "level", "repeatable", "read"},
	{"isolation", "level", "read", "committed"}, {"isolation", "level", "read", "uncommitted"},
	{"read", "write"}, {"read", "only"}, {"deferrable"}, {"not", "deferrable"},
}

// isValid reports whether a target accepts the tokens after BEGIN or START, which is first.
func (m *transactionModes) isValid(first token) bool {
	rest := m.tokens[:m.count]
	isStart := first.isKeyword("start")
	named := len(rest) > 0 && (rest[0].isKeyword("transaction") || (!isStart && rest[0].isKeyword("work")))
	if m.tooMany || (isStart && !named) {
		return false
	}
	if named {
		rest = rest[1:]
	}
	for isFirst := true; len(rest) > 0; isFirst = false {
		if !isFirst && rest[0].kind == tokenPunctuation && rest[0].text == "," {
			rest = rest[1:]
		}
		length := modeLength(rest)
		if length == 0 {
			return false
		}
		rest = rest[length:]
	}
	return true
}

// modeLength returns the number of tokens of the mode at the beginning, or 0 if there is none.
func modeLength(tokens []token) int {
	for _, mode := range validModes {
		matched := 0
		for matched < len(mode) && matched < len(tokens) && tokens[matched].isKeyword(mode[matched]) {
			matched++
		}
		if matched == len(mode) {
			return matched
		}
	}
	return 0
}
