package cli

import (
	"context"
	"net"
	"net/http"

	"github.com/limpettrail/limpettrail/internal/tlsfiles"
)

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
