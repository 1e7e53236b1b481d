package dev_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/internal/dev"
)

// TestJobCompletesThroughWholeSystem guards against a fault anywhere on the path
// between caller and upstream.
func TestJobCompletesThroughWholeSystem(t *testing.T) {
	s, err := dev.Start(dev.Options{})
	assert.NilError(t, err)
	defer func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		assert.NilError(t, s.Stop(ctx))
	}()
	readyCtx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	assert.NilError(t, s.WaitReady(readyCtx))
	for i, e := range s.Entries {
		body := fmt.Sprintf(`{"class":"quote","tasks":[{"sleep_us":1000,"text":"a%d"},{"sleep_us":100}]}`, i)
		resp, err := http.Post("http://"+e.Addr()+"/v1/jobs", "application/json", strings.NewReader(body))
		assert.NilError(t, err)
		resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	}
}
