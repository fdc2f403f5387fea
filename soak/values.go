package soak

import (
	"fmt"
	"strings"
)

// valueSource is the first random source of the callers' bytes, apart from all others.
const valueSource = 2000

// maxValueBytes is the length of the random part of a value.
const maxValueBytes = 24

// appendBytes appends random bytes of a last field to a text: any but CR LF, and more often those
// that a reader may take for the end of a message or of a field, or for another message. Without a
// source it appends nothing.
func (c *caller) appendBytes(text string) string {
	if c.bytes == nil {
		return text
	}
	special := []string{"\n", "\r", " ", "\x00", "\xff", "\nCOMPLETE 1.f\nREADY I 9.9", "\nQUERY 9 WRITE 2 z", "\rTERMINATE\r"}
	b := []byte(text)
	for range c.bytes.IntN(maxValueBytes) {
		if c.bytes.IntN(2) == 0 {
			b = append(b, byte(c.bytes.IntN(256)))
		} else {
			b = append(b, special[c.bytes.IntN(len(special))]...)
		}
	}
	for text = string(b); strings.Contains(text, "\r\n"); {
		text = strings.ReplaceAll(text, "\r\n", "\n")
	}
	return text
}

// setValue sets one of the session's values now and then, if there is a source of values. It reports
// whether the connection is usable afterwards.
func (c *caller) setValue() bool {
	if c.bytes == nil || c.bytes.IntN(8) > 0 {
		return true
	}
	response, ok := c.execute(c.appendBytes(fmt.Sprintf("SET v%d %d", c.bytes.IntN(3), c.statementCount)))
	return ok && response.OK()
}
