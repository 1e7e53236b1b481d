package settings

import (
	"net/netip"
	"net/url"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// validate reports missing keys and inconsistent values.
func (l *loader) validate(file string) {
	for _, k := range Keys(l.result.role) {
		if _, set := l.result.values[k.Name]; !set && k.Required && !l.hasError(k.Name) {
			l.addError(Error{Source: file, Key: k.Name, Problem: "missing", Allowed: k.Allowed()})
		}
	}
	l.checkTLSFiles(file)
	l.checkPlainText(file)
	l.checkListenAddrs(file)
}

func (l *loader) hasError(key string) bool {
	return slices.ContainsFunc(l.errors, func(e Error) bool { return e.Key == key })
}

// checkTLSFiles requires that a certificate, its key and the certificate authorities
// for its peers are set together.
func (l *loader) checkTLSFiles(file string) {
	l.requireTogether(file, "tls.peer_cert", "tls.peer_key", "tls.peer_ca")
	l.requireTogether(file, "tls.operator_cert", "tls.operator_key", "tls.operator_ca")
	if l.result.role == RoleEntry {
		l.requireTogether(file, "tls.caller_cert", "tls.caller_key")
	}
}

// requireTogether reports an error if some but not all of the keys are set.
func (l *loader) requireTogether(file string, keys ...string) {
	set := 0
	for _, k := range keys {
		if l.result.String(k) != "" {
			set++
		}
	}
	if set == 0 || set == len(keys) {
		return
	}
	l.addError(Error{Source: file, Line: l.lines[keys[0]], Key: keys[0], Problem: "must be set together with " + strings.Join(keys[1:], ", ")})
}

// checkPlainText rejects addresses other than loopback without TLS, unless
// insecure is set.
func (l *loader) checkPlainText(file string) {
	if l.result.Bool("insecure") {
		return
	}
	l.requireTLS(file, "operator_listen", "tls.operator_cert")
	if l.result.role == RoleEntry {
		l.requireTLS(file, "listen", "tls.caller_cert")
		l.requireTLS(file, "peer_listen", "tls.peer_cert")
		return
	}
	for _, addr := range l.result.Strings("entries") {
		if !isLoopback(addr) && l.result.String("tls.peer_cert") == "" {
			l.addError(Error{Source: file, Line: l.lines["entries"], Key: "entries",
				Problem: addr + " is not loopback and tls.peer_cert is not set", Allowed: "set tls.peer_cert, or insecure = true"})
			return
		}
	}
}

// requireTLS reports an error if the address is not loopback and the certificate
// is not set.
func (l *loader) requireTLS(file, addrKey, certKey string) {
	addr := l.result.String(addrKey)
	if addr == "" || isLoopback(addr) || l.result.String(certKey) != "" {
		return
	}
	l.addError(Error{Source: file, Line: l.lines[addrKey], Key: addrKey,
		Problem: addr + " is not loopback and " + certKey + " is not set", Allowed: "set " + certKey + ", or insecure = true"})
}

// checkListenAddrs rejects two listeners on the same address.
func (l *loader) checkListenAddrs(file string) {
	seen := map[string]string{}
	for _, key := range []string{"listen", "peer_listen", "operator_listen"} {
		if l.keys[key] == nil {
			continue
		}
		addr := l.result.String(key)
		if addr == "" || strings.HasSuffix(addr, ":0") {
			continue
		}
		if other, duplicate := seen[addr]; duplicate {
			l.addError(Error{Source: file, Line: l.lines[key], Key: key, Problem: "same address as " + other})
		}
		seen[addr] = key
	}
}

func isLoopback(addr string) bool {
	ap, err := netip.ParseAddrPort(addr)
	return err == nil && ap.Addr().IsLoopback()
}

// Warnings describes settings that are valid but probably unintended.
func (v *Values) Warnings() []string {
	var out []string
	if v.Bool("insecure") && v.String("tls.peer_cert") != "" {
		out = append(out, "insecure = true has no purpose if TLS is configured for peers")
	}
	if v.String("operator_listen") == "" {
		out = append(out, "operator_listen is not set: no metrics, status or timeline")
	}
	if v.role == RoleAgent && !upstreamIsLocal(v.String("upstream")) {
		out = append(out, "upstream is not on loopback: the agent should run on the same machine as its upstream")
	}
	return out
}

func upstreamIsLocal(text string) bool {
	u, err := url.Parse(text)
	if err != nil {
		return false
	}
	a, err := netip.ParseAddr(u.Hostname())
	return err == nil && a.IsLoopback()
}

// suggest proposes the key most similar to name. If no key is similar, it lists
// all keys of the role.
func (l *loader) suggest(name string) string {
	best, bestDistance := "", 4 // more than three edits are not considered a typo
	for _, k := range Keys(l.result.role) {
		if d := editDistance(name, k.Name); d < bestDistance {
			best, bestDistance = k.Name, d
		}
	}
	if best != "" {
		return "did you mean " + best + "?"
	}
	var names []string
	for _, k := range Keys(l.result.role) {
		names = append(names, k.Name)
	}
	return strings.Join(names, ", ")
}

// editDistance returns the Levenshtein distance between a and b.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			distance := min(row[j+1]+1, row[j]+1, diagonal+cost)
			diagonal, row[j+1] = row[j+1], distance
		}
	}
	return row[len(b)]
}

// dottedKey returns the key of an expression with its parts joined by dots.
func dottedKey(e *unstable.Node) string {
	var parts []string
	for it := e.Key(); it.Next(); {
		parts = append(parts, string(it.Node().Data))
	}
	return strings.Join(parts, ".")
}

// lineOf returns the line number of the key of an expression, or 0 if it has none.
func lineOf(p *unstable.Parser, e *unstable.Node) int {
	it := e.Key()
	if !it.Next() {
		return 0
	}
	return p.Shape(it.Node().Raw).Start.Line
}

// valueTexts returns the text of a scalar, or of each element of a list. It
// reports false if the TOML type does not match the kind of the key.
func valueTexts(k *Key, n *unstable.Node) ([]string, bool) {
	if k.Kind == KindAddrs {
		return listTexts(n)
	}
	want := unstable.String
	switch k.Kind {
	case KindInt:
		want = unstable.Integer
	case KindBool:
		want = unstable.Bool
	}
	if n.Kind != want {
		return nil, false
	}
	return []string{string(n.Data)}, true
}

// listTexts returns the elements of a list of strings. It reports false if n is
// another type or empty.
func listTexts(n *unstable.Node) ([]string, bool) {
	if n.Kind != unstable.Array {
		return nil, false
	}
	var out []string
	for it := n.Children(); it.Next(); {
		if it.Node().Kind != unstable.String {
			return nil, false
		}
		out = append(out, string(it.Node().Data))
	}
	return out, len(out) > 0
}
