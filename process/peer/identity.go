package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Identity holds the certificate with which this instance authenticates itself
// on links, and the certificate authorities that it trusts for peers. A peer's
// certificate must carry the peer's instance ID as a DNS name.
type Identity struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// LoadIdentity reads the certificate, its key and the authorities' certificates
// from PEM files. Errors name the file.
func LoadIdentity(certificate, key, authority string) (*Identity, error) {
	keyPair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, eris.Wrapf(err, "load peer certificate %s", certificate)
	}
	data, err := os.ReadFile(authority)
	if err != nil {
		return nil, eris.Wrap(err, "read peer certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, eris.Errorf("peer certificate authority file %s contains no certificate", authority)
	}
	return &Identity{certificate: keyPair, authorities: pool}, nil
}

// ServerConfig returns the TLS configuration for accepting links. It requires a
// client certificate issued by a trusted authority.
func (i *Identity) ServerConfig() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{i.certificate},
		ClientCAs:    i.authorities,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{"http/1.1"},
	}
}

// clientConfig returns the TLS configuration for dialing links. The standard
// verification is off because peers are dialed by address, which their
// certificates do not name: verifyChain checks the issuer, and verifyInstance
// later the name that the hello claims.
func (i *Identity) clientConfig() *tls.Config {
	return &tls.Config{
		Certificates:       []tls.Certificate{i.certificate},
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true,
		VerifyConnection:   i.verifyChain,
	}
}

// verifyChain checks a peer's certificate against the trusted authorities.
func (i *Identity) verifyChain(state tls.ConnectionState) error {
	options := x509.VerifyOptions{Roots: i.authorities, Intermediates: x509.NewCertPool()}
	for _, intermediate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(intermediate)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return eris.Wrap(err, "verify peer certificate")
}

// verifyInstance checks that the certificate of a link names the instance that
// the hello claims. It accepts links without TLS.
func verifyInstance(state *tls.ConnectionState, claimed topology.InstanceID) error {
	if state == nil {
		return nil
	}
	err := state.PeerCertificates[0].VerifyHostname(string(claimed))
	return eris.Wrapf(err, "certificate does not name instance %s", claimed)
}
