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

// token is a piece of the text. Comments and white space make no tokens.
type token struct {
	kind tokenKind
	text string
}

// scanner walks over the lexical elements of SQL text (PostgreSQL
// documentation, chapter 4.1). It knows no grammar.
type scanner struct {
	text string
	at   int
}

// next returns the next token.
func (s *scanner) next() token {
	s.skipBlank()
	if s.at >= len(s.text) {
		return token{}
	}
	start := s.at
	c := s.text[s.at]
	switch {
	case isEscapePrefix(s.text[s.at:]):
		s.at++
		s.skipQuoted('\'', true)
		return token{tokenLiteral, s.text[start:s.at]}
	case c == '\'':
		s.skipQuoted('\'', false)
		return token{tokenLiteral, s.text[start:s.at]}
	case c == '"':
		s.skipQuoted('"', false)
		return token{tokenQuotedName, s.text[start:s.at]}
	case c == '$' && s.skipDollarQuoted():
		return token{tokenLiteral, s.text[start:s.at]}
	case isWordStart(c):
		for s.at < len(s.text) && isWordPart(s.text[s.at]) {
			s.at++
		}
		return token{tokenWord, s.text[start:s.at]}
	default:
		s.at++
		return token{tokenPunctuation, s.text[start:s.at]}
	}
}

// skipBlank passes white space and comments. Block comments nest.
func (s *scanner) skipBlank() {
	for s.at < len(s.text) {
		rest := s.text[s.at:]
		switch {
		case isSpace(rest[0]):
			s.at++
		case strings.HasPrefix(rest, "--"):
			end := strings.IndexAny(rest, "\r\n")
			if end < 0 {
				end = len(rest)
			}
			s.at += end
		case strings.HasPrefix(rest, "/*"):
			s.skipBlockComment()
		default:
			return
		}
	}
}

func (s *scanner) skipBlockComment() {
	depth := 0
	for s.at < len(s.text) {
		rest := s.text[s.at:]
		switch {
		case strings.HasPrefix(rest, "/*"):
			depth++
			s.at += 2
		case strings.HasPrefix(rest, "*/"):
			depth--
			s.at += 2
			if depth == 0 {
				return
			}
		default:
			s.at++
		}
	}
}

// skipQuoted passes a quoted element; a doubled quote stands for itself.
func (s *scanner) skipQuoted(quote byte, backslash bool) {
	s.at++
	for s.at < len(s.text) {
		c := s.text[s.at]
		s.at++
		switch {
		case backslash && c == '\\':
			s.at = min(s.at+1, len(s.text))
		case c == quote && s.at < len(s.text) && s.text[s.at] == quote:
			s.at++
		case c == quote:
			return
		}
	}
}

// skipDollarQuoted passes a dollar-quoted string. It reports false, without
// moving, when the dollar sign opens none.
func (s *scanner) skipDollarQuoted() bool {
	rest := s.text[s.at:]
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
		s.at = len(s.text)
		return true
	}
	s.at += len(tag) + closing + len(tag)
	return true
}

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
