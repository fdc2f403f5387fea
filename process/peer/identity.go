package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Identity is the certificate with which this instance authenticates links and
// the authorities that it trusts for peers. A peer's certificate must carry the
// peer's instance identifier as a DNS name.
type Identity struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// LoadIdentity reads PEM files. The error names the file.
func LoadIdentity(certificate, key, authority string) (*Identity, error) {
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, eris.Wrapf(err, "load peer certificate %s", certificate)
	}
	data, err := os.ReadFile(authority)
	if err != nil {
		return nil, eris.Wrap(err, "read peer authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, eris.Errorf("peer authority %s holds no certificate", authority)
	}
	return &Identity{certificate: pair, authorities: pool}, nil
}

// ServerConfig accepts links from peers that the authorities vouch for.
func (i *Identity) ServerConfig() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{i.certificate},
		ClientCAs:    i.authorities,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{"http/1.1"},
	}
}

// clientConfig opens links to peers that the authorities vouch for. Peers are
// dialed by address, so the name is checked against the hello instead.
func (i *Identity) clientConfig() *tls.Config {
	return &tls.Config{
		Certificates:       []tls.Certificate{i.certificate},
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true,
		VerifyConnection:   i.verifyChain,
	}
}

// verifyChain checks a peer's certificate against the authorities.
func (i *Identity) verifyChain(state tls.ConnectionState) error {
	options := x509.VerifyOptions{Roots: i.authorities, Intermediates: x509.NewCertPool()}
	for _, extra := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(extra)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return eris.Wrap(err, "verify peer certificate")
}

// verifyInstance checks that the certificate of a link names the instance that
// the hello claims.
func verifyInstance(state *tls.ConnectionState, claimed topology.InstanceID) error {
	if state == nil {
		return nil
	}
	err := state.PeerCertificates[0].VerifyHostname(string(claimed))
	return eris.Wrapf(err, "certificate does not name instance %s", claimed)
}
