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

// Certificate is a TLS certificate in two files that is read again when they
// change. A pair that can't be read leaves the last good one in use.
type Certificate struct {
	certificateFile string
	keyFile         string
	logger          logr.Logger
	current         atomic.Pointer[tls.Certificate]
}

// LoadCertificate reads the files.
func LoadCertificate(certificateFile, keyFile string, logger logr.Logger) (*Certificate, error) {
	c := &Certificate{certificateFile: certificateFile, keyFile: keyFile, logger: logger}
	return c, c.Reload()
}

// Config returns a TLS configuration that always uses the latest certificate.
func (c *Certificate) Config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.current.Load(), nil
		},
	}
}

// Reload reads the files again.
func (c *Certificate) Reload() error {
	pair, err := tls.LoadX509KeyPair(c.certificateFile, c.keyFile)
	if err != nil {
		return eris.Wrapf(err, "load certificate %s", c.certificateFile)
	}
	c.current.Store(&pair)
	return nil
}

// Run reloads the certificate whenever its files change, until the context ends.
func (c *Certificate) Run(ctx context.Context) error {
	watcher, err := fsnotify.NewWatcher()
	if err != nil {
		return eris.Wrap(err, "watch certificate")
	}
	defer watcher.Close()
	for _, file := range []string{c.certificateFile, c.keyFile} {
		if err := watcher.Add(filepath.Dir(file)); err != nil {
			return eris.Wrapf(err, "watch certificate %s", file)
		}
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-watcher.Events:
			c.reloadAndLog()
		case err := <-watcher.Errors:
			eventStale.LogError(c.logger, err)
		}
	}
}

func (c *Certificate) reloadAndLog() {
	if err := c.Reload(); err != nil {
		eventStale.LogError(c.logger, err)
		return
	}
	eventReload.Log(c.logger, "file", c.certificateFile)
}
