package upstream

import (
	"bytes"
	"errors"
	"testing"
)

// Guards against a server that skips the proof that it knows the password, and against a
// session that starts in the middle of another one's responses.
func TestLoginNeedsItsMessagesInOrder(t *testing.T) {
	const (
		ok        = "R\x00\x00\x00\x08\x00\x00\x00\x00"
		cleartext = "R\x00\x00\x00\x08\x00\x00\x00\x03"
		sasl      = "R\x00\x00\x00\x17\x00\x00\x00\x0aSCRAM-SHA-256\x00\x00"
	)
	for name, script := range map[string]string{
		"no authentication":          readyIdle,
		"key without authentication": keyData + readyIdle,
		"SCRAM without its proof":    sasl + ok + readyIdle,
		"authenticated twice":        ok + ok + readyIdle,
		"password after success":     ok + cleartext + readyIdle,
		"SCRAM after a password":     cleartext + sasl + readyIdle,
		"in a transaction":           ok + keyData + readyOpen,
	} {
		t.Run(name, func(t *testing.T) {
			socket := &bytesConn{reader: bytes.NewReader([]byte(script))}
			_, err := logIn(t.Context(), Config{Target: "t", Password: testPassword}, socket)
			var violation *ProtocolError
			if !errors.As(err, &violation) {
				t.Errorf("error %v, want a protocol error", err)
			}
		})
	}
	socket := &bytesConn{reader: bytes.NewReader([]byte(timeZone + cleartext + notice + ok + timeZone + keyData + readyIdle))}
	if _, err := logIn(t.Context(), Config{Target: "t"}, socket); err != nil {
		t.Error(err)
	}
}

// Guards against a name that ends its field early, so that what follows is read as further
// start-up parameters.
func TestCredentialsWithNULAreRefused(t *testing.T) {
	for _, config := range []Config{
		{Target: "t", Database: "kv\x00user\x00postgres"}, {Target: "t", User: "a\x00"}, {Target: "t", Password: "a\x00b"},
	} {
		socket := &bytesConn{reader: bytes.NewReader([]byte(loginOK))}
		if _, err := logIn(t.Context(), config, socket); err == nil {
			t.Errorf("logged in with %+v", config)
		}
	}
}
