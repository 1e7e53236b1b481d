package cli

import (
	"context"
	"net"
	"net/http"
	"strings"

	"github.com/limpettrail/limpettrail/internal/tlsfiles"
)

// withScheme completes IP:port. With TLS files it is https, so that a
// certificate that was given is never left out in silence.
func (a *tlsArgs) withScheme(addr string) string {
	if strings.Contains(addr, "://") {
		return addr
	}
	if a.Cert != "" || a.CA != "" {
		return "https://" + addr
	}
	return "http://" + addr
}

// httpClient returns a client that presents the operator's certificate, or a
// plain one if no files are given.
func (a *tlsArgs) httpClient() (*http.Client, error) {
	if a.Cert == "" && a.CA == "" {
		return &http.Client{}, nil
	}
	id, err := tlsfiles.Load(tlsfiles.Files{Cert: a.Cert, Key: a.Key, CA: a.CA})
	if err != nil {
		return nil, err
	}
	return &http.Client{Transport: &http.Transport{
		DialTLSContext: func(ctx context.Context, _, addr string) (net.Conn, error) { return id.Dial(ctx, addr) },
	}}, nil
}
