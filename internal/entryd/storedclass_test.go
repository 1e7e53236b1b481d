package entryd

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/durable"
	"github.com/limpettrail/limpettrail/core/policy"
)

// Guards against a stored job that is not run, or that runs on the workers of another
// class, after its class got another name, moved or was removed.
func TestStoredJobRunsInClassOfItsAddress(t *testing.T) {
	accepted := policy.Class{Name: "quotes", Address: "h/quotes/", Pool: "desk"}
	renamed := policy.Class{Name: "offers", Address: "h/quotes/", Pool: "desk-2"}
	moved := policy.Class{Name: "quotes", Address: "h/other/", Pool: "counter"}
	for _, c := range []struct {
		name      string
		recorded  policy.Class
		published []policy.Class
		wantPool  string // "" if the job cannot run
		wantName  string // "" if any name that is not published
	}{
		{"unchanged", accepted, []policy.Class{moved, accepted}, "desk", "quotes"},
		{"renamed", accepted, []policy.Class{moved, renamed}, "desk-2", "offers"},
		{"removed", accepted, nil, "desk", ""},
		{"name used elsewhere", accepted, []policy.Class{moved}, "desk", ""},
		{"accepted by an earlier build", policy.Class{}, []policy.Class{moved}, "counter", "quotes"},
		{"accepted by an earlier build and renamed", policy.Class{}, []policy.Class{renamed}, "", ""},
		{"without an address, removed", policy.Class{Name: "quotes", Pool: "desk"}, []policy.Class{renamed}, "desk", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			class, ok := storedClass(c.published, &durable.Spec{ID: "j", Class: "quotes", Published: c.recorded})
			assert.Equal(t, ok, c.wantPool != "")
			if !ok {
				return
			}
			assert.Equal(t, class.Pool, c.wantPool)
			if c.wantName != "" {
				assert.Equal(t, class.Name, c.wantName)
				return
			}
			for _, p := range c.published {
				assert.Assert(t, class.Name != p.Name)
			}
		})
	}
}
