package caller

import (
	"context"
	"crypto/tls"
	"path/filepath"
	"sync/atomic"

	"github.com/fsnotify/fsnotify"
	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
)

// Certificate is a TLS certificate with its private key, reloaded when their
// files change. If the changed files cannot be loaded, the last valid certificate
// stays in use.
type Certificate struct {
	certificateFile string
	keyFile         string
	logger          logr.Logger
	current         atomic.Pointer[tls.Certificate]
}

// LoadCertificate loads a certificate and its private key from PEM files.
func LoadCertificate(certificateFile, keyFile string, logger logr.Logger) (*Certificate, error) {
	c := &Certificate{certificateFile: certificateFile, keyFile: keyFile, logger: logger}
	return c, c.Reload()
}

// Config returns a TLS configuration whose handshakes use the certificate loaded
// last.
func (c *Certificate) Config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.current.Load(), nil
		},
	}
}

// Reload loads the files again.
func (c *Certificate) Reload() error {
	certificate, err := tls.LoadX509KeyPair(c.certificateFile, c.keyFile)
	if err != nil {
		return eris.Wrapf(err, "load TLS certificate %s", c.certificateFile)
	}
	c.current.Store(&certificate)
	return nil
}

// Run reloads the certificate whenever something changes in the directories of
// its files, until the context is canceled.
func (c *Certificate) Run(ctx context.Context) error {
	watcher, err := fsnotify.NewWatcher()
	if err != nil {
		return eris.Wrap(err, "watch TLS certificate files")
	}
	defer watcher.Close()
	for _, file := range []string{c.certificateFile, c.keyFile} {
		if err := watcher.Add(filepath.Dir(file)); err != nil {
			return eris.Wrapf(err, "watch directory of TLS file %s", file)
		}
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-watcher.Events:
			c.reloadAndLog()
		case err := <-watcher.Errors:
			eventCertificateReloadFailed.LogError(c.logger, err)
		}
	}
}

func (c *Certificate) reloadAndLog() {
	if err := c.Reload(); err != nil {
		eventCertificateReloadFailed.LogError(c.logger, err)
		return
	}
	eventCertificateReloaded.Log(c.logger, "file", c.certificateFile)
}
