package statement

import "strings"

// Split separates the statements of a simple query at semicolons outside quotes
// and comments. Empty statements are left out unless nothing else is there.
func Split(text string) []string {
	var parts []string
	start := 0
	scan(text, func(i int, outside bool) {
		if outside && text[i] == ';' {
			parts = append(parts, text[start:i])
			start = i + 1
		}
	})
	parts = append(parts, text[start:])
	var kept []string
	for _, part := range parts {
		if strings.TrimSpace(stripComments(part)) != "" {
			kept = append(kept, part)
		}
	}
	return kept
}

func stripComments(text string) string {
	if !strings.Contains(text, "--") && !strings.Contains(text, "/*") {
		return text
	}
	var kept strings.Builder
	end := 0
	scan(text, func(i int, outside bool) {
		if i < end {
			return
		}
		if outside && (strings.HasPrefix(text[i:], "--") || strings.HasPrefix(text[i:], "/*")) {
			end = commentEnd(text, i)
			kept.WriteByte(' ')
			return
		}
		kept.WriteByte(text[i])
	})
	return kept.String()
}

// scan visits each byte and says whether it lies outside quotes and comments. A
// comment's first byte counts as outside.
func scan(text string, visit func(i int, outside bool)) {
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
