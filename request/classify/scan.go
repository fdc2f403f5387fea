package classify

import "strings"

// tokenKind is the lexical kind of a token.
type tokenKind uint8

const (
	tokenEnd tokenKind = iota
	tokenWord
	tokenLiteral
	tokenQuotedName
	tokenPunctuation
)

// token is a lexical element of the text. White space and comments are not tokens.
type token struct {
	kind tokenKind
	text string
}

// scanner splits SQL text into its lexical elements, as chapter 4.1 of the PostgreSQL
// documentation defines them. It does not know the grammar.
type scanner struct {
	text string
	// offset is the position of the next byte to scan.
	offset int
}

// next returns the next token, or tokenEnd at the end of the text.
func (s *scanner) next() token {
	s.skipSpaceAndComments()
	if s.offset >= len(s.text) {
		return token{}
	}
	start := s.offset
	c := s.text[s.offset]
	switch {
	case isEscapePrefix(s.text[s.offset:]):
		s.offset++
		s.skipQuoted('\'', true)
		return token{tokenLiteral, s.text[start:s.offset]}
	case c == '\'':
		s.skipQuoted('\'', false)
		return token{tokenLiteral, s.text[start:s.offset]}
	case c == '"':
		s.skipQuoted('"', false)
		return token{tokenQuotedName, s.text[start:s.offset]}
	case c == '$' && s.skipDollarQuoted():
		return token{tokenLiteral, s.text[start:s.offset]}
	case isWordStart(c):
		for s.offset < len(s.text) && isWordPart(s.text[s.offset]) {
			s.offset++
		}
		return token{tokenWord, s.text[start:s.offset]}
	default:
		s.offset++
		return token{tokenPunctuation, s.text[start:s.offset]}
	}
}

// skipSpaceAndComments skips white space and comments.
func (s *scanner) skipSpaceAndComments() {
	for s.offset < len(s.text) {
		rest := s.text[s.offset:]
		switch {
		case isSpace(rest[0]):
			s.offset++
		case strings.HasPrefix(rest, "--"):
			end := strings.IndexAny(rest, "\r\n")
			if end < 0 {
				end = len(rest)
			}
			s.offset += end
		case strings.HasPrefix(rest, "/*"):
			s.skipBlockComment()
		default:
			return
		}
	}
}

// skipBlockComment skips a block comment. Block comments nest.
func (s *scanner) skipBlockComment() {
	depth := 0
	for s.offset < len(s.text) {
		rest := s.text[s.offset:]
		switch {
		case strings.HasPrefix(rest, "/*"):
			depth++
			s.offset += 2
		case strings.HasPrefix(rest, "*/"):
			depth--
			s.offset += 2
			if depth == 0 {
				return
			}
		default:
			s.offset++
		}
	}
}

// skipQuoted skips a quoted element, in which a doubled quote stands for one quote. With
// backslash set, a backslash escapes the next byte.
func (s *scanner) skipQuoted(quote byte, backslash bool) {
	s.offset++
	for s.offset < len(s.text) {
		c := s.text[s.offset]
		s.offset++
		switch {
		case backslash && c == '\\':
			s.offset = min(s.offset+1, len(s.text))
		case c == quote && s.offset < len(s.text) && s.text[s.offset] == quote:
			s.offset++
		case c == quote:
			return
		}
	}
}

// skipDollarQuoted skips a dollar-quoted string. It returns false, and skips nothing,
// when the dollar sign does not open one.
func (s *scanner) skipDollarQuoted() bool {
	rest := s.text[s.offset:]
	end := 1
	for end < len(rest) && rest[end] != '$' {
		if !isTagPart(rest[end]) || (end == 1 && isDigit(rest[end])) {
			return false
		}
		end++
	}
	if end >= len(rest) {
		return false
	}
	tag := rest[:end+1]
	closing := strings.Index(rest[len(tag):], tag)
	if closing < 0 {
		s.offset = len(s.text)
		return true
	}
	s.offset += len(tag) + closing + len(tag)
	return true
}

// isEscapePrefix reports whether the text begins with a string with backslash escapes.
func isEscapePrefix(rest string) bool {
	return len(rest) > 1 && (rest[0] == 'e' || rest[0] == 'E') && rest[1] == '\''
}

func isSpace(c byte) bool {
	return c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f' || c == '\v'
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isWordStart(c byte) bool {
	return c == '_' || c >= 0x80 || (c|0x20 >= 'a' && c|0x20 <= 'z')
}

func isTagPart(c byte) bool { return isWordStart(c) || isDigit(c) }

func isWordPart(c byte) bool { return isTagPart(c) || c == '$' }
