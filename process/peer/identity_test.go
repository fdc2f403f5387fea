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

// authority signs certificates for a test.
type authority struct {
	t           *testing.T
	dir         string
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, dir: t.TempDir(), key: newKey(t)}
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

func (a *authority) sign(template, parent *x509.Certificate, public *ecdsa.PublicKey) []byte {
	a.t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, template, parent, public, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	return der
}

func (a *authority) write(name, kind string, der []byte) string {
	a.t.Helper()
	path := filepath.Join(a.dir, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	return path
}

// identity issues a certificate that names an instance.
func (a *authority) identity(id topology.InstanceID) *Identity {
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

// linked runs a dialer against an acceptor and reports whether a link came up.
func linked(t *testing.T, dialer, acceptor *Identity, dialerID topology.InstanceID) bool {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	accepting := New(Config{Instance: "b", Identity: acceptor}, logr.Discard())
	server := httptest.NewUnstartedServer(accepting)
	server.TLS = acceptor.ServerConfig()
	server.StartTLS()
	defer server.Close()
	up, accepted, done := make(chan struct{}, 1), make(chan struct{}, 1), make(chan struct{})
	dialing := New(Config{Instance: dialerID, Identity: dialer}, logr.Discard())
	dialing.OnUp(func(platform.Instance, []platform.Instance) { up <- struct{}{} })
	accepting.OnUp(func(platform.Instance, []platform.Instance) { accepted <- struct{}{} })
	go func() {
		defer close(done)
		dialing.dial(ctx, server.Listener.Addr().String())
	}()
	select {
	case <-done:
		return false
	case <-accepted:
		<-up
		return true
	}
}

func TestLinksNeedACertificateThatNamesTheInstance(t *testing.T) {
	trusted := newAuthority(t)
	foreign := newAuthority(t)
	if !linked(t, trusted.identity("a"), trusted.identity("b"), "a") {
		t.Error("a link between trusted instances did not come up")
	}
	if linked(t, trusted.identity("a"), trusted.identity("b"), "c") {
		t.Error("a link came up for an instance that its certificate does not name")
	}
	if linked(t, foreign.identity("a"), trusted.identity("b"), "a") {
		t.Error("a link came up with a certificate of a foreign authority")
	}
}

func TestIdentityRefusesMissingFiles(t *testing.T) {
	if _, err := LoadIdentity("absent", "absent", "absent"); err == nil {
		t.Fatal("loaded an identity from nothing")
	}
}
