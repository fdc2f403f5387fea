package caller

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jackc/pgx/v5/pgproto3"
)

// writePair writes a self-signed certificate for the name.
func writePair(t *testing.T, directory, name string) (certificateFile, keyFile string) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: time.Unix(0, 0), NotAfter: time.Unix(1<<33, 0),
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	encodedKey, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	certificateFile, keyFile = filepath.Join(directory, "c.pem"), filepath.Join(directory, "k.pem")
	for file, block := range map[string]*pem.Block{
		certificateFile: {Type: "CERTIFICATE", Bytes: certificate},
		keyFile:         {Type: "PRIVATE KEY", Bytes: encodedKey},
	} {
		if err := os.WriteFile(file, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return certificateFile, keyFile
}

// secure asks for TLS and returns the connection inside.
func (c *testCaller) secure() *tls.Conn {
	request, _ := (&pgproto3.SSLRequest{}).Encode(nil)
	c.write(request)
	var answer [1]byte
	if _, err := io.ReadFull(c.socket, answer[:]); err != nil || answer[0] != 'S' {
		c.t.Fatalf("answer %q, %v to a request for TLS", answer, err)
	}
	secured := tls.Client(c.socket, &tls.Config{InsecureSkipVerify: true})
	c.socket = secured
	c.frontend = pgproto3.NewFrontend(secured, secured)
	return secured
}

// TestTLS logs in through TLS and changes the certificate meanwhile. A pair that
// can't be read changes nothing.
func TestTLS(t *testing.T) {
	directory := t.TempDir()
	certificateFile, keyFile := writePair(t, directory, "first")
	certificate, err := LoadCertificate(certificateFile, keyFile, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	s, _ := newTestServer(t, Config{TLS: certificate.Config(), RequireTLS: true})
	wantName := func(name string) {
		t.Helper()
		c := dial(t, s)
		secured := c.secure()
		c.login(testKey, testSecret, "ledger")
		if got := c.ask(); got != "mill" {
			t.Errorf("got %q through TLS", got)
		}
		if got := secured.ConnectionState().PeerCertificates[0].Subject.CommonName; got != name {
			t.Errorf("certificate of %s, want %s", got, name)
		}
	}
	wantName("first")
	writePair(t, directory, "second")
	if err := certificate.Reload(); err != nil {
		t.Fatal(err)
	}
	wantName("second")
	if err := os.WriteFile(keyFile, []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := certificate.Reload(); err == nil {
		t.Error("a broken pair was loaded")
	}
	wantName("second")
	plain := dial(t, s)
	plain.write(startup(testKey, "ledger"))
	plain.receive()
	if plain.seen[0] != "FATAL 28000" {
		t.Errorf("got %v without TLS", plain.seen)
	}
}

// TestTLSStartsClean refuses bytes that come before the handshake: they would
// pass as sent through TLS.
func TestTLSStartsClean(t *testing.T) {
	certificateFile, keyFile := writePair(t, t.TempDir(), "first")
	certificate, err := LoadCertificate(certificateFile, keyFile, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	s, _ := newTestServer(t, Config{TLS: certificate.Config()})
	near, far := net.Pipe()
	defer near.Close()
	s.start(t.Context(), far)
	request, _ := (&pgproto3.SSLRequest{}).Encode(nil)
	go func() { _, _ = near.Write(append(request, startup(testKey, "ledger")...)) }()
	answer, _ := io.ReadAll(near)
	if !bytes.Contains(answer, []byte("08P01")) {
		t.Errorf("answer %q, want SQLSTATE 08P01", answer)
	}
}
