package main

import (
	"bytes"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// exchange opens a session at a database, sends messages at once and returns all that it responds
// until it closes the connection.
func exchange(t *testing.T, sent string) string {
	t.Helper()
	g, err := startGroup("s", 1, 4, 8, 0, 0, 0, func() time.Duration { return 0 })
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", g.primary.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write([]byte(sent)); err != nil {
		t.Fatal(err)
	}
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	received, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	return string(received)
}

const startup = "STARTUP s t i-s-1\r\n"

// A message ended at any line feed, so that the proxy's mistake was the stand-in's too.
func TestDatabaseKeepsAnyBytesOfAField(t *testing.T) {
	for _, data := range []string{"a\nb", "a\n", "\n", "a\rb", "a\r", "\r", "\x00\xff", "a b  c ", "x\nQUERY 2 WRITE i z", "", "READY I 1.1"} {
		received := exchange(t, startup+"QUERY 1 WRITE i "+data+"\r\nQUERY 2 READ i\r\n")
		if !strings.Contains(received, "\r\nROW "+data+"\r\nCOMPLETE i-s-1.2.") || strings.Count(received, "READY I 3.") != 3 {
			t.Errorf("data %q: received %q", data, received)
		}
	}
}

// A statement without its fields ended the stand-in.
func TestDatabaseRefusesWhatIsNotWellFormed(t *testing.T) {
	for _, text := range []string{"READ", "READ ", "WRITE", "WRITE ", "EXECUTE", "EXECUTE p", "PREPARE", "PREPARE p", "PREPARE p OTHER x", "NOTHING", "read i", "BEGIN OTHER", "COMMIT now", "AFTERLSN 1", "AFTERLSN x READ i", "AFTERLSN 0.0 AFTERLSN 0.0 READ i"} {
		received := exchange(t, startup+"QUERY 1 "+text+"\r\n")
		if !strings.HasSuffix(received, "ERROR MALFORMED i-s-1\r\nREADY I 3.0\r\n") {
			t.Errorf("%q: received %q", text, received)
		}
	}
	for _, message := range []string{"QUERY 1 READ i\n", "QUERY 1 READ i", "QUERY 1\r\n", "QUERY  READ i\r\n", "\r\n", "query 1 READ i\r\n", "TERMINATE\r\n"} {
		if received := exchange(t, startup+message); received != "READY I 3.0\r\n" {
			t.Errorf("%.40q: received %q", message, received)
		}
	}
	for _, first := range []string{"STARTUP s t i-s-1\n", "STARTUP s\r\n", "STARTUP  t\r\n", "QUERY 1 READ i\r\n"} {
		if received := exchange(t, first); received != "" {
			t.Errorf("%q: received %q", first, received)
		}
	}
}

// CR and LF may arrive in different segments.
func TestLineEndInTwoReads(t *testing.T) {
	in := newMessageReader(io.MultiReader(strings.NewReader("a\r"), strings.NewReader("\r"), strings.NewReader("\nb\n\r\n"), bytes.NewReader(nil)))
	for _, want := range []string{"a\r", "b\n"} {
		if line, err := readLine(in); err != nil || line != want {
			t.Fatalf("read %q, %v", line, err)
		}
	}
	if _, err := readLine(in); err != io.EOF {
		t.Fatalf("error %v", err)
	}
	longest := strings.Repeat("i", maxMessageBytes-2) + "\r\n"
	if line, err := readLine(newMessageReader(strings.NewReader(longest))); err != nil || len(line) != maxMessageBytes-2 {
		t.Errorf("the longest message: %d bytes, %v", len(line), err)
	}
	if _, err := readLine(newMessageReader(strings.NewReader("i" + longest))); err != errMessageTooLong {
		t.Errorf("a message that is too long: %v", err)
	}
}
