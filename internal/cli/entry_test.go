package cli

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/internal/settings"
)

// Guards against an error about a machine that is too small which names a setting that an
// entry does not have.
func TestTooSmallMachineNamesTheSettingOfAnEntry(t *testing.T) {
	const text = `
name = "a"
zone = "z"
listen = "127.0.0.1:0"
peer_listen = "127.0.0.1:0"
log_url = "http://127.0.0.1:1"
`
	for override, want := range map[string]string{
		"process_memory=119MB":     "process_memory: got 119MB, want at least 120MB",
		"process_descriptors=1023": "process_descriptors: got 1023, want at least 1024",
	} {
		v, err := settings.Parse(settings.RoleEntry, "f.toml", []byte(text), nil, []string{override})
		assert.NilError(t, err)
		_, err = startEntry(v, identities{})
		assert.Error(t, err, want)
	}
}
