package settings_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/internal/settings"
)

const goodEntry = `name = "e1"
zone = "z1"
listen = "127.0.0.1:8080"
peer_listen = "127.0.0.1:7100"
log_url = "http://127.0.0.1:9400"
`

const goodAgent = `name = "w1"
zone = "z1"
rack = "r1"
entries = ["127.0.0.1:7100"]
upstream = "http://127.0.0.1:8000/"
`

// Guards against accepting an invalid file, and against an error message without
// the location and the allowed values.
func TestInvalidFilesAreRejectedWithLocationAndAllowedValues(t *testing.T) {
	cases := []struct {
		name string
		role settings.Role
		file string
		want string
	}{
		{"syntax", settings.RoleEntry, goodEntry + "max_jobs = = 3\n",
			"f.toml:6: TOML syntax: "},
		{"unknown key", settings.RoleEntry, goodEntry + "max_job = 3\n",
			"f.toml:6: max_job: unknown key; allowed: did you mean max_jobs?"},
		{"set twice", settings.RoleEntry, goodEntry + "zone = \"z2\"\n",
			"f.toml:6: zone: set twice, first on line 2"},
		{"missing", settings.RoleAgent, strings.Replace(goodAgent, "rack = \"r1\"\n", "", 1),
			"f.toml: rack: missing; allowed: 1 to 64 letters, digits, '-', '_' or '.'"},
		{"host name", settings.RoleEntry, strings.Replace(goodEntry, "127.0.0.1:8080", "localhost:8080", 1),
			`f.toml:3: listen: not an IP:port address: got "localhost:8080"; allowed: IP:port, e.g. "10.0.0.5:7000"`},
		{"no unit", settings.RoleEntry, goodEntry + "drain_timeout = \"30\"\n",
			`f.toml:6: drain_timeout: not a duration: got "30"; allowed: duration from 100ms to 10m0s, e.g. "250ms"`},
		{"number for text", settings.RoleEntry, goodEntry + "drain_timeout = 30\n",
			`f.toml:6: drain_timeout: wrong type; allowed: duration from 100ms to 10m0s, e.g. "250ms"`},
		{"out of range", settings.RoleEntry, goodEntry + "claim_window = \"1s\"\n",
			`f.toml:6: claim_window: out of range: got "1s"; allowed: duration from 1m0s to 24h0m0s, e.g. "250ms"`},
		{"size unit", settings.RoleAgent, goodAgent + "memory = \"128\"\n",
			`f.toml:6: memory: not a size with unit MB or GB: got "128"; allowed: size from 0MB to 1073741824MB, e.g. "64MB"`},
		{"slots", settings.RoleAgent, goodAgent + "slots = 0\n",
			`f.toml:6: slots: out of range: got "0"; allowed: integer from 1 to 64`},
		{"empty list", settings.RoleAgent, strings.Replace(goodAgent, `["127.0.0.1:7100"]`, "[]", 1),
			`f.toml:4: entries: wrong type; allowed: list of IP:port, e.g. ["10.0.0.5:7100", "10.0.0.6:7100"]`},
		{"plain text beyond loopback", settings.RoleEntry, strings.Replace(goodEntry, "127.0.0.1:8080", "10.0.0.1:8080", 1),
			"f.toml:3: listen: 10.0.0.1:8080 is not loopback and tls.caller_cert is not set; allowed: set tls.caller_cert, or insecure = true"},
		{"certificate without key", settings.RoleEntry, goodEntry + "[tls]\npeer_cert = \"c.pem\"\n",
			"f.toml:7: tls.peer_cert: must be set together with tls.peer_key, tls.peer_ca"},
		{"same address", settings.RoleEntry, strings.Replace(goodEntry, ":7100", ":8080", 1),
			"f.toml:4: peer_listen: same address as listen"},
		{"level", settings.RoleEntry, goodEntry + "log_level = \"loud\"\n",
			`f.toml:6: log_level: not an allowed value: got "loud"; allowed: one of debug, info, warn, error`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := settings.Parse(c.role, "f.toml", []byte(c.file), nil, nil)
			assert.Assert(t, err != nil)
			assert.Assert(t, strings.HasPrefix(err.Error(), c.want), "got %s", err)
		})
	}
}

// Guards against reporting only the first of several errors.
func TestAllErrorsAreReportedAtOnce(t *testing.T) {
	_, err := settings.Parse(settings.RoleAgent, "f.toml", []byte("slots = 0\nbogus = 1\n"), nil, nil)
	all, ok := err.(settings.Errors)
	assert.Assert(t, ok)
	assert.Equal(t, len(all), 7) // five required keys are missing
}

// Guards against a wrong order of precedence of the sources.
func TestCommandLineOverridesEnvironmentOverridesFile(t *testing.T) {
	file := []byte(goodEntry + "drain_timeout = \"1s\"\nmax_jobs = 5\nlog_level = \"warn\"\n")
	environ := []string{"LIMPETTRAIL_DRAIN_TIMEOUT=2s", "LIMPETTRAIL_MAX_JOBS=6"}
	v, err := settings.Parse(settings.RoleEntry, "f.toml", file, environ, []string{"max_jobs=7"})
	assert.NilError(t, err)
	assert.Equal(t, v.Int("max_jobs"), int64(7))
	assert.Equal(t, v.Duration("drain_timeout"), 2*time.Second)
	assert.Equal(t, v.String("log_level"), "warn")
	assert.Equal(t, v.Duration("claim_window"), 15*time.Minute)
}

// Guards against sample files in deploy that no longer match the settings keys.
func TestSampleFilesAreValid(t *testing.T) {
	for _, role := range []settings.Role{settings.RoleEntry, settings.RoleAgent} {
		name := "../../deploy/" + string(role) + ".toml"
		v, err := settings.Load(role, name, nil, nil)
		assert.NilError(t, err)
		assert.Equal(t, len(v.Warnings()), 0)
		data, err := os.ReadFile(name)
		assert.NilError(t, err)
		for _, k := range settings.Keys(role) {
			last := k.Name[strings.LastIndex(k.Name, ".")+1:]
			assert.Assert(t, k.Name == "peer_advertise" || strings.Contains(string(data), last+" = "), "%s lacks %s", name, k.Name)
		}
	}
}

// Guards against input that crashes the parser.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(goodEntry))
	f.Add([]byte(goodAgent))
	f.Add([]byte("[tls]\npeer_cert = \"x\"\n[[a]]\nb.c = [1, {d = 2}]\n"))
	f.Add([]byte("= \x00"))
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, role := range []settings.Role{settings.RoleEntry, settings.RoleAgent} {
			v, err := settings.Parse(role, "f.toml", data, nil, nil)
			assert.Assert(t, (v == nil) == (err != nil))
		}
	})
}
