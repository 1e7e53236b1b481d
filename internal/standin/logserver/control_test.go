package logserver_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/internal/standin/logserver"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against faults that cannot be injected from another process.
func TestControlAddressSetsFaults(t *testing.T) {
	s, err := logserver.Start(logserver.Options{Listen: "127.0.0.1:0", Control: "127.0.0.1:0"})
	assert.NilError(t, err)
	defer http.DefaultClient.CloseIdleConnections()
	defer s.Close()
	post := func(body string) *http.Response {
		resp, err := http.Post(s.ControlURL(), "application/json", strings.NewReader(body))
		assert.NilError(t, err)
		t.Cleanup(func() { resp.Body.Close() })
		return resp
	}
	resp := post(`{"faults":{"outage":true}}`)
	var state logserver.ControlReply
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&state))
	assert.Assert(t, state.Faults.Outage)
	reply, err := http.Get(s.URL() + "/v1/streams/s/records?from=0")
	assert.NilError(t, err)
	reply.Body.Close()
	assert.Equal(t, reply.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, post(`{"fault":{}}`).StatusCode, http.StatusBadRequest)
}
