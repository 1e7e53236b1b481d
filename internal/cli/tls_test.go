package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/policy"
	"github.com/limpettrail/limpettrail/internal/agentd"
	"github.com/limpettrail/limpettrail/internal/dev"
	"github.com/limpettrail/limpettrail/internal/operatorhttp"
	"github.com/limpettrail/limpettrail/internal/settings"
	"github.com/limpettrail/limpettrail/internal/standin/logserver"
	"github.com/limpettrail/limpettrail/internal/standin/upstream"
	"github.com/limpettrail/limpettrail/internal/tlsfiles"
	"github.com/limpettrail/limpettrail/internal/tlsfiles/tlstest"
)

const entryTOML = `name = "e"
zone = "z"
listen = "127.0.0.1:0"
peer_listen = "127.0.0.1:0"
operator_listen = "127.0.0.1:0"
log_url = %q
log_level = "error"
[tls]
caller_cert = %q
caller_key = %q
peer_cert = %q
peer_key = %q
peer_ca = %q
operator_cert = %q
operator_key = %q
operator_ca = %q
`

const agentTOML = `name = "w"
zone = "z"
rack = "r"
slots = 2
entries = [%q]
upstream = %q
[tls]
peer_cert = %q
peer_key = %q
peer_ca = %q
`

// loadValues parses settings and loads their TLS identities.
func loadValues(t *testing.T, role settings.Role, text string) (*settings.Values, identities) {
	t.Helper()
	v, err := settings.Parse(role, "f.toml", []byte(text), nil, nil)
	assert.NilError(t, err)
	ids, err := loadIdentities(role, v)
	assert.NilError(t, err)
	return v, ids
}

// Guards against a deployment with TLS in which a connection is plain text or
// accepts a peer without a certificate of the configured certificate authority.
func TestSystemWithTLSRejectsUntrustedPeers(t *testing.T) {
	trustedCA, otherCA := tlstest.NewAuthority(t), tlstest.NewAuthority(t)
	log, err := logserver.Start(logserver.Options{Listen: "127.0.0.1:0"})
	assert.NilError(t, err)
	defer log.Close()
	assert.NilError(t, dev.PublishSettings(log.URL(), policy.Settings{Classes: dev.SampleClasses()}))
	up, err := upstream.Start("127.0.0.1:0", upstream.Options{})
	assert.NilError(t, err)
	defer up.Close()

	f := trustedCA.Issue(t, t.TempDir(), "127.0.0.1", trustedCA)
	v, ids := loadValues(t, settings.RoleEntry, fmt.Sprintf(entryTOML, log.URL(), f.Cert, f.Key, f.Cert, f.Key, f.CA, f.Cert, f.Key, f.CA))
	n, err := startEntry(v, ids)
	assert.NilError(t, err)
	defer n.Kill()
	start := func(f tlsfiles.Files) *agentd.Agent {
		v, ids := loadValues(t, settings.RoleAgent, fmt.Sprintf(agentTOML, n.PeerAddr(), "http://"+up.Addr(), f.Cert, f.Key, f.CA))
		return agentd.Start(agentOptions(v, ids))
	}
	untrusted := start(otherCA.Issue(t, t.TempDir(), "127.0.0.1", trustedCA))
	defer untrusted.Kill()
	plain := agentd.Start(agentd.Options{Name: "p", Slots: 1, UpstreamURL: "http://" + up.Addr(), Entries: []string{n.PeerAddr()}})
	defer plain.Kill()
	a := start(trustedCA.Issue(t, t.TempDir(), "127.0.0.1", trustedCA))
	defer a.Kill()
	for end := time.Now().Add(time.Minute); !n.Ready(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the agent never connected")
	}

	caller, err := (&tlsArgs{Cert: f.Cert, Key: f.Key, CA: f.CA}).httpClient()
	assert.NilError(t, err)
	resp, err := caller.Post("https://"+n.Addr()+"/v1/jobs", "application/json", strings.NewReader(`{"class":"quote","tasks":[{"sleep_us":1}]}`))
	assert.NilError(t, err)
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	for _, s := range []*agentd.Agent{untrusted, plain} {
		status, ok := s.Status()
		assert.Assert(t, ok)
		assert.Equal(t, len(status.Entries), 0)
	}

	p, err := fetchStatus(caller, "https://"+n.OperatorAddr())
	assert.NilError(t, err)
	assert.Equal(t, p.Name, "e")
	_, err = fetchStatus(&http.Client{}, "https://"+n.OperatorAddr())
	assert.Assert(t, err != nil)
}

// Guards against sub-commands that cannot be selected, help texts without an
// example, and wrong exit codes.
func TestCommandsHaveHelpWithExampleAndUsageExitCode(t *testing.T) {
	for _, name := range []string{"entry", "agent", "config", "dev", "load", "timeline", "check"} {
		var out, errs strings.Builder
		assert.Equal(t, Main([]string{name, "--help"}, &out, &errs), ExitOK, errs.String())
		assert.Assert(t, strings.Contains(out.String(), "Example: limpettrail "+name), out.String())
	}
	for _, argv := range [][]string{{}, {"bogus"}, {"entry"}, {"config"}, {"check", "--role", "x", "f"}, {"timeline", "--format", "x", "/dev/null"}} {
		var out, errs strings.Builder
		code := Main(argv, &out, &errs)
		assert.Assert(t, code == ExitUsage, "%v: %d %s", argv, code, errs.String())
	}
}

// Guards against a timeline that omits reachable processes because another one is
// unreachable.
func TestTimelineIncludesAllReachableProcesses(t *testing.T) {
	h := operatorhttp.Handler(operatorhttp.Options{})
	server := operatorhttp.NewServer(h)
	l, err := listen(nil, "127.0.0.1:0")
	assert.NilError(t, err)
	go server.Serve(l)
	defer server.Shutdown(context.Background())
	saved := filepath.Join(t.TempDir(), "saved.json")
	assert.NilError(t, os.WriteFile(saved, []byte(`[{"stamp":4096,"process":"e","code":1100,"name":"job_accepted","submission":"s","task":-1}]`), 0o600))
	for _, format := range []string{"table", "json", "svg"} {
		var out, errs strings.Builder
		code := Main([]string{"timeline", "--job", "s", "--format", format, saved, l.Addr().String(), "127.0.0.1:1"}, &out, &errs)
		assert.Equal(t, code, ExitOK, errs.String())
		assert.Assert(t, strings.Contains(out.String(), "job_accepted"), out.String())
		assert.Assert(t, strings.Contains(errs.String(), "127.0.0.1:1 omitted"), errs.String())
	}
}
