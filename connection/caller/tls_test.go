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

// writeCertificateFiles writes a self-signed certificate for the name, and its
// private key, to two files in the directory.
func writeCertificateFiles(t *testing.T, directory, name string) (certificateFile, keyFile string) {
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

// upgradeToTLS requests TLS and uses it for the following messages.
func (c *testCaller) upgradeToTLS() *tls.Conn {
	request, _ := (&pgproto3.SSLRequest{}).Encode(nil)
	c.writeRaw(request)
	var response [1]byte
	if _, err := io.ReadFull(c.socket, response[:]); err != nil || response[0] != 'S' {
		c.t.Fatalf("response %q, %v to an SSLRequest", response, err)
	}
	tlsConn := tls.Client(c.socket, &tls.Config{InsecureSkipVerify: true})
	c.socket = tlsConn
	c.frontend = pgproto3.NewFrontend(tlsConn, tlsConn)
	return tlsConn
}

// TestTLSCertificateReload logs in over TLS before and after the certificate is
// replaced. A certificate that cannot be loaded leaves the previous one in use. A
// login without TLS is refused.
func TestTLSCertificateReload(t *testing.T) {
	directory := t.TempDir()
	certificateFile, keyFile := writeCertificateFiles(t, directory, "first")
	certificate, err := LoadCertificate(certificateFile, keyFile, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	s, _ := newTestServer(t, Config{TLS: certificate.Config(), RequireTLS: true})
	expectCertificate := func(name string) {
		t.Helper()
		c := dial(t, s)
		tlsConn := c.upgradeToTLS()
		c.login(testKey, testSecret, "ledger")
		if got := c.runQuery(); got != "mill" {
			t.Errorf("got %q over TLS", got)
		}
		if got := tlsConn.ConnectionState().PeerCertificates[0].Subject.CommonName; got != name {
			t.Errorf("certificate for %s, want %s", got, name)
		}
	}
	expectCertificate("first")
	writeCertificateFiles(t, directory, "second")
	if err := certificate.Reload(); err != nil {
		t.Fatal(err)
	}
	expectCertificate("second")
	if err := os.WriteFile(keyFile, []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := certificate.Reload(); err == nil {
		t.Error("an invalid key file was loaded")
	}
	expectCertificate("second")
	plaintext := dial(t, s)
	plaintext.writeRaw(startupMessage(testKey, "ledger"))
	plaintext.receive()
	if plaintext.receivedKinds[0] != "FATAL 28000" {
		t.Errorf("got %v without TLS", plaintext.receivedKinds)
	}
}

// TestDataBeforeTLSHandshakeIsRefused sends a startup message in plaintext behind
// the SSLRequest. An attacker could inject it there, and after the handshake it
// would be processed as if it had come over TLS.
func TestDataBeforeTLSHandshakeIsRefused(t *testing.T) {
	certificateFile, keyFile := writeCertificateFiles(t, t.TempDir(), "first")
	certificate, err := LoadCertificate(certificateFile, keyFile, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	s, _ := newTestServer(t, Config{TLS: certificate.Config()})
	callerSide, serverSide := net.Pipe()
	defer callerSide.Close()
	s.startServing(t.Context(), serverSide)
	request, _ := (&pgproto3.SSLRequest{}).Encode(nil)
	go func() { _, _ = callerSide.Write(append(request, startupMessage(testKey, "ledger")...)) }()
	response, _ := io.ReadAll(callerSide)
	if !bytes.Contains(response, []byte("08P01")) {
		t.Errorf("response %q, want SQLSTATE 08P01", response)
	}
}
