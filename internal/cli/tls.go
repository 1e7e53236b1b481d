package cli

import (
	"context"
	"net"
	"net/http"
	"strings"

	"github.com/limpettrail/limpettrail/internal/tlsfiles"
)

// withScheme turns IP:port into a URL. The scheme is https if --cert or --ca is
// set, so that a certificate is never silently ignored.
func (a *tlsArgs) withScheme(addr string) string {
	if strings.Contains(addr, "://") {
		return addr
	}
	if a.Cert != "" || a.CA != "" {
		return "https://" + addr
	}
	return "http://" + addr
}

// httpClient returns a client that presents the operator's certificate, or a plain
// client if neither --cert nor --ca is set.
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
