package main

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"time"
)

// maxMessageBytes is the maximum length of a message with its line end.
const maxMessageBytes = 1 << 20

var errMessageTooLong = errors.New("message is longer than 1 MiB")

func newMessageReader(source io.Reader) *bufio.Reader { return bufio.NewReaderSize(source, 4096) }

// readLine reads a message, which ends at the first CR LF, and returns it without its end.
func readLine(in *bufio.Reader) (string, error) {
	var line []byte
	for len(line) < maxMessageBytes {
		c, err := in.ReadByte()
		switch {
		case err == io.EOF && len(line) > 0:
			return "", io.ErrUnexpectedEOF
		case err != nil:
			return "", err
		case c == '\n' && len(line) > 0 && line[len(line)-1] == '\r':
			return string(line[:len(line)-1]), nil
		}
		line = append(line, c)
	}
	return "", errMessageTooLong
}

// readMessage reads a message and splits it into at most count fields. While the member is
// dark it does not return.
func (m *member) readMessage(in *bufio.Reader, count int) ([]string, error) {
	line, err := readLine(in)
	if err != nil {
		return nil, err
	}
	m.group.mu.Lock()
	dark := time.Until(m.darkUntil)
	m.group.mu.Unlock()
	time.Sleep(dark)
	return strings.SplitN(line, " ", count), nil
}

// call is the text of a statement, of which the last argument extends to the end.
type call struct {
	keyword   string
	arguments []string
}

// forms holds the fewest and most arguments of each statement.
var forms = map[string]struct{ fewest, most int }{
	"BEGIN": {0, 1}, "COMMIT": {0, 0}, "ROLLBACK": {0, 0}, "READ": {1, 1}, "WRITE": {1, 2}, "SET": {1, 2}, "PREPARE": {2, 3},
	"EXECUTE": {2, 3}, "DEALLOCATE": {1, 1}, "RESET": {0, 0}, "STATUS": {0, 0}, "PAUSE": {1, 1}, "RESUME": {0, 0}, "DEMOTE": {1, 1},
	"AFTERLSN": {2, 2},
}

// parseCall parses the text of a statement. It returns false for one that is not well formed.
func parseCall(text string) (call, bool) {
	keyword, rest, hasArguments := strings.Cut(text, " ")
	form, known := forms[keyword]
	c := call{keyword: keyword}
	if hasArguments {
		c.arguments = strings.SplitN(rest, " ", max(form.most, 1))
	}
	switch {
	case !known || len(c.arguments) < form.fewest || len(c.arguments) > form.most || form.fewest > 0 && c.arguments[0] == "":
		return call{}, false
	case keyword == "BEGIN" && hasArguments && rest != "READ":
		return call{}, false
	case keyword == "PREPARE" && c.arguments[1] != "READ" && c.arguments[1] != "WRITE":
		return call{}, false
	}
	return c, true
}
