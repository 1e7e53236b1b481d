package settings

import (
	"net/netip"
	"net/url"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// finish reports missing keys and values that contradict each other.
func (l *loader) finish(file string) {
	for _, k := range Keys(l.out.role) {
		if _, set := l.out.values[k.Name]; !set && k.Required && !l.faulty(k.Name) {
			l.fault(Fault{Source: file, Key: k.Name, Problem: "missing", Allowed: k.Allowed()})
		}
	}
	l.checkPairs(file)
	l.checkSecure(file)
	l.checkDistinct(file)
}

func (l *loader) faulty(key string) bool {
	return slices.ContainsFunc(l.faults, func(f Fault) bool { return f.Key == key })
}

// checkPairs requires a certificate, its key and its authorities together.
func (l *loader) checkPairs(file string) {
	l.together(file, "tls.peer_cert", "tls.peer_key", "tls.peer_ca")
	l.together(file, "tls.operator_cert", "tls.operator_key", "tls.operator_ca")
	if l.out.role == RoleEntry {
		l.together(file, "tls.caller_cert", "tls.caller_key")
	}
}

func (l *loader) together(file string, keys ...string) {
	set := 0
	for _, k := range keys {
		if l.out.String(k) != "" {
			set++
		}
	}
	if set == 0 || set == len(keys) {
		return
	}
	l.fault(Fault{Source: file, Line: l.lines[keys[0]], Key: keys[0], Problem: "must be set together with " + strings.Join(keys[1:], ", ")})
}

// checkSecure refuses plain text on addresses other than loopback, unless the
// operator says so.
func (l *loader) checkSecure(file string) {
	if l.out.Bool("insecure") {
		return
	}
	l.needTLS(file, "operator_listen", "tls.operator_cert")
	if l.out.role == RoleEntry {
		l.needTLS(file, "listen", "tls.caller_cert")
		l.needTLS(file, "peer_listen", "tls.peer_cert")
		return
	}
	for _, addr := range l.out.Strings("entries") {
		if !loopback(addr) && l.out.String("tls.peer_cert") == "" {
			l.fault(Fault{Source: file, Line: l.lines["entries"], Key: "entries",
				Problem: addr + " is not loopback and tls.peer_cert is not set", Allowed: "set tls.peer_cert, or insecure = true"})
			return
		}
	}
}

func (l *loader) needTLS(file, addrKey, certKey string) {
	addr := l.out.String(addrKey)
	if addr == "" || loopback(addr) || l.out.String(certKey) != "" {
		return
	}
	l.fault(Fault{Source: file, Line: l.lines[addrKey], Key: addrKey,
		Problem: addr + " is not loopback and " + certKey + " is not set", Allowed: "set " + certKey + ", or insecure = true"})
}

// checkDistinct refuses two listeners on one address.
func (l *loader) checkDistinct(file string) {
	seen := map[string]string{}
	for _, key := range []string{"listen", "peer_listen", "operator_listen"} {
		if l.keys[key] == nil {
			continue
		}
		addr := l.out.String(key)
		if addr == "" || strings.HasSuffix(addr, ":0") {
			continue
		}
		if other, twice := seen[addr]; twice {
			l.fault(Fault{Source: file, Line: l.lines[key], Key: key, Problem: "same address as " + other})
		}
		seen[addr] = key
	}
}

func loopback(addr string) bool {
	ap, err := netip.ParseAddrPort(addr)
	return err == nil && ap.Addr().IsLoopback()
}

// Warnings names settings that are valid but probably not what was meant.
func (v *Values) Warnings() []string {
	var out []string
	if v.Bool("insecure") && v.String("tls.peer_cert") != "" {
		out = append(out, "insecure = true has no use when TLS is configured for peers")
	}
	if v.String("operator_listen") == "" {
		out = append(out, "operator_listen is not set: no metrics, status or time line")
	}
	if v.role == RoleAgent && !upstreamIsLocal(v.String("upstream")) {
		out = append(out, "upstream is not on loopback: the agent should run beside its upstream")
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

// suggest names the nearest key, or all keys of the role.
func (l *loader) suggest(name string) string {
	best, bestDistance := "", 4 // more than three edits is no longer a slip
	for _, k := range Keys(l.out.role) {
		if d := editDistance(name, k.Name); d < bestDistance {
			best, bestDistance = k.Name, d
		}
	}
	if best != "" {
		return "did you mean " + best + "?"
	}
	var names []string
	for _, k := range Keys(l.out.role) {
		names = append(names, k.Name)
	}
	return strings.Join(names, ", ")
}

// editDistance is the Levenshtein distance.
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
			next := min(row[j+1]+1, row[j]+1, diagonal+cost)
			diagonal, row[j+1] = row[j+1], next
		}
	}
	return row[len(b)]
}

func joinKey(e *unstable.Node) string {
	var parts []string
	for it := e.Key(); it.Next(); {
		parts = append(parts, string(it.Node().Data))
	}
	return strings.Join(parts, ".")
}

func lineOf(p *unstable.Parser, e *unstable.Node) int {
	it := e.Key()
	if !it.Next() {
		return 0
	}
	return p.Shape(it.Node().Raw).Start.Line
}

// scalarTexts returns the text of a scalar, or of each element of a list, if
// the TOML type fits the key's kind.
func scalarTexts(k *Key, n *unstable.Node) ([]string, bool) {
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
