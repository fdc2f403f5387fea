package statement

import "strings"

// SplitStatements splits the text of a Query message at semicolons outside quotes
// and comments. Statements of nothing but white space and comments are left out.
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

// stripComments replaces each comment by a space.
func stripComments(text string) string {
	if !strings.Contains(text, "--") && !strings.Contains(text, "/*") {
		return text
	}
	var stripped strings.Builder
	end := 0
	visitBytes(text, func(i int, isCode bool) {
		if i < end {
			return
		}
		if isCode && (strings.HasPrefix(text[i:], "--") || strings.HasPrefix(text[i:], "/*")) {
			end = commentEnd(text, i)
			stripped.WriteByte(' ')
			return
		}
		stripped.WriteByte(text[i])
	})
	return stripped.String()
}

// visitBytes calls visit for each byte. isCode is true outside quotes and comments
// and for the byte that opens one, so that visit can recognize a comment there.
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

// quoteEnd returns the index after the closing quote of the literal at start. A
// doubled quote within it reads as two literals next to each other.
func quoteEnd(text string, start int) int {
	if n := strings.IndexByte(text[start+1:], '\''); n >= 0 {
		return start + 1 + n + 1
	}
	return len(text)
}

// commentEnd returns the index after the comment at start, which includes the line
// break of a line comment. Block comments do not nest.
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
