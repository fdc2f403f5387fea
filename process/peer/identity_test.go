package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

// certificateAuthority issues certificates for a test and writes them to files.
type certificateAuthority struct {
	t           *testing.T
	dir         string
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
}

func newCertificateAuthority(t *testing.T) *certificateAuthority {
	t.Helper()
	a := &certificateAuthority{t: t, dir: t.TempDir(), key: newKey(t)}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der := a.sign(template, template, &a.key.PublicKey)
	parsed, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	a.certificate = parsed
	a.write("ca.pem", "CERTIFICATE", der)
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// sign signs a certificate for a public key.
func (a *certificateAuthority) sign(template, parent *x509.Certificate, public *ecdsa.PublicKey) []byte {
	a.t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, template, parent, public, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	return der
}

// write writes a PEM file and returns its path.
func (a *certificateAuthority) write(name, kind string, der []byte) string {
	a.t.Helper()
	path := filepath.Join(a.dir, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	return path
}

// identity returns an identity with a certificate that names an instance.
func (a *certificateAuthority) identity(id topology.InstanceID) *Identity {
	a.t.Helper()
	key := newKey(a.t)
	der := a.sign(&x509.Certificate{
		SerialNumber: big.NewInt(2), DNSNames: []string{string(id)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a.certificate, &key.PublicKey)
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	loaded, err := LoadIdentity(a.write(string(id)+".pem", "CERTIFICATE", der),
		a.write(string(id)+".key", "EC PRIVATE KEY", keyDER), filepath.Join(a.dir, "ca.pem"))
	if err != nil {
		a.t.Fatal(err)
	}
	return loaded
}

// linkComesUp lets one instance dial another and reports whether a link came
// up.
func linkComesUp(t *testing.T, dialer, acceptor *Identity, dialerID topology.InstanceID) bool {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	accepting := New(Config{Instance: "b", Identity: acceptor}, logr.Discard())
	server := httptest.NewUnstartedServer(accepting)
	server.TLS = acceptor.ServerConfig()
	server.StartTLS()
	defer server.Close()
	dialerUp, acceptorUp, dialReturned := make(chan struct{}, 1), make(chan struct{}, 1), make(chan struct{})
	dialing := New(Config{Instance: dialerID, Identity: dialer}, logr.Discard())
	dialing.OnLinkUp(func(platform.Instance, []platform.Instance) { dialerUp <- struct{}{} })
	accepting.OnLinkUp(func(platform.Instance, []platform.Instance) { acceptorUp <- struct{}{} })
	go func() {
		defer close(dialReturned)
		dialing.dial(ctx, server.Listener.Addr().String())
	}()
	select {
	case <-dialReturned:
		return false
	case <-acceptorUp:
		<-dialerUp
		return true
	}
}

func TestLinkRequiresCertificateNamingInstance(t *testing.T) {
	trusted := newCertificateAuthority(t)
	untrusted := newCertificateAuthority(t)
	if !linkComesUp(t, trusted.identity("a"), trusted.identity("b"), "a") {
		t.Error("a link between trusted instances did not come up")
	}
	if linkComesUp(t, trusted.identity("a"), trusted.identity("b"), "c") {
		t.Error("a link came up for an instance that its certificate does not name")
	}
	if linkComesUp(t, untrusted.identity("a"), trusted.identity("b"), "a") {
		t.Error("a link came up with a certificate of an untrusted authority")
	}
}

func TestLoadIdentityFailsWithoutFiles(t *testing.T) {
	if _, err := LoadIdentity("absent", "absent", "absent"); err == nil {
		t.Fatal("loaded an identity from absent files")
	}
}
