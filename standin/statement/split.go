package statement

import "strings"

// SplitStatements separates the statements of a simple query at semicolons outside quotes
// and comments. Empty statements are left out unless nothing else is there.
func SplitStatements(text string) []string {
	var pieces []string
	start := 0
	visitBytes(text, func(i int, isCode bool) {
		if isCode && text[i] == ';' {
			pieces = append(pieces, text[start:i])
			start = i + 1
		}
	})
	pieces = append(pieces, text[start:])
	var statements []string
	for _, piece := range pieces {
		if strings.TrimSpace(stripComments(piece)) != "" {
			statements = append(statements, piece)
		}
	}
	return statements
}

func stripComments(text string) string {
	if !strings.Contains(text, "--") && !strings.Contains(text, "/*") {
		return text
	}
	var statements strings.Builder
	end := 0
	visitBytes(text, func(i int, isCode bool) {
		if i < end {
			return
		}
		if isCode && (strings.HasPrefix(text[i:], "--") || strings.HasPrefix(text[i:], "/*")) {
			end = commentEnd(text, i)
			statements.WriteByte(' ')
			return
		}
		statements.WriteByte(text[i])
	})
	return statements.String()
}

// visitBytes visits each byte and says whether it lies outside quotes and comments. A
// comment's first byte counts as outside.
func visitBytes(text string, visit func(i int, isCode bool)) {
	for i := 0; i < len(text); i++ {
		visit(i, true)
		end := i
		switch {
		case text[i] == '\'':
			end = quoteEnd(text, i)
		case strings.HasPrefix(text[i:], "--"), strings.HasPrefix(text[i:], "/*"):
			end = commentEnd(text, i)
		default:
			continue
		}
		for i++; i < end; i++ {
			visit(i, false)
		}
		i--
	}
}

func quoteEnd(text string, start int) int {
	if n := strings.IndexByte(text[start+1:], '\''); n >= 0 {
		return start + 1 + n + 1
	}
	return len(text)
}

func commentEnd(text string, start int) int {
	closing := "\n"
	if strings.HasPrefix(text[start:], "/*") {
		closing = "*/"
	}
	if n := strings.Index(text[start+2:], closing); n >= 0 {
		return start + 2 + n + len(closing)
	}
	return len(text)
}
