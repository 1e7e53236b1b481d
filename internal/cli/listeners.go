package cli

import (
	"context"
	"errors"
	"net"

	"github.com/limpettrail/limpettrail/internal/settings"
	"github.com/limpettrail/limpettrail/internal/tlsfiles"
)

// identities are the TLS identities of a process. An identity that is not
// configured is nil.
type identities struct {
	caller   *tlsfiles.Identity
	peer     *tlsfiles.Identity
	operator *tlsfiles.Identity
}

func loadIdentities(role settings.Role, v *settings.Values) (ids identities, err error) {
	if role == settings.RoleEntry {
		ids.caller, err = loadIdentity(v.String("tls.caller_cert"), v.String("tls.caller_key"), "")
	}
	if err == nil {
		ids.peer, err = loadIdentity(v.String("tls.peer_cert"), v.String("tls.peer_key"), v.String("tls.peer_ca"))
	}
	if err == nil {
		ids.operator, err = loadIdentity(v.String("tls.operator_cert"), v.String("tls.operator_key"), v.String("tls.operator_ca"))
	}
	return ids, err
}

// loadIdentity returns nil if cert is empty.
func loadIdentity(cert, key, ca string) (*tlsfiles.Identity, error) {
	if cert == "" {
		return nil, nil
	}
	return tlsfiles.Load(tlsfiles.Files{Cert: cert, Key: key, CA: ca})
}

// reload reloads the files of all identities. An identity whose files are invalid
// keeps its previous content.
func (ids identities) reload() error {
	var errs []error
	for _, id := range []*tlsfiles.Identity{ids.caller, ids.peer, ids.operator} {
		if id != nil {
			errs = append(errs, id.Reload())
		}
	}
	return errors.Join(errs...)
}

// listen opens a TLS listener, or a plain TCP listener if id is nil.
func listen(id *tlsfiles.Identity, addr string) (net.Listener, error) {
	if id != nil {
		return id.Listen(addr)
	}
	return net.Listen("tcp", addr)
}

// dialFunc returns a function that opens TLS connections, or plain TCP connections if
// id is nil.
func dialFunc(id *tlsfiles.Identity) func(ctx context.Context, addr string) (net.Conn, error) {
	if id != nil {
		return id.Dial
	}
	return func(ctx context.Context, addr string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", addr)
	}
}
