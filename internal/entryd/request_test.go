package entryd_test

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/entryd"
)

func tasksOf(n int) string { return "[" + strings.TrimSuffix(strings.Repeat("0,", n), ",") + "]" }

// Guards against invalid requests that are accepted or are refused without a clear
// reason.
func TestBadRequestsAreRefusedWithTheirReason(t *testing.T) {
	job := func(extra string) string { return `{"class":"c","tasks":[1]` + extra + `}` }
	cases := []struct{ body, want string }{
		{``, `bad_json: body: want an object`},
		{`[]`, `bad_json: body: want an object`},
		{`null`, `bad_json: body: want an object`},
		{`{"class":"c","tasks":[1]`, `bad_json: body: EOF`},
		{`{"class":"c","tasks":[1}`, `bad_json: tasks: invalid character '}' after array element`},
		{`{"class":"c" "tasks":[1]}`, `bad_json: body: invalid character '"' after object key:value pair`},
		{`{"class":7,"tasks":[1]}`, `bad_json: class: got a JSON number`},
		{`{"class":"c","tasks":{}}`, `bad_json: tasks: got a JSON object`},
		{job(`,"idempotent":"yes"`), `bad_json: idempotent: got a JSON string`},
		{job(`,"needs":[]`), `bad_json: needs: want an object`},
		{job(`,"Class":"c"`), `unknown_field: Class`},
		{job(`,"shards":1`), `unknown_field: shards`},
		{job(`,"needs":{"cores":1}`), `unknown_field: needs.cores`},
		{job(`,"class":"d"`), `duplicate_field: class`},
		{job(`,"needs":{"run_ms":1,"run_ms":2}`), `duplicate_field: needs.run_ms`},
		{job(``) + `{}`, `trailing_data: data after the job object`},
		{job(``) + `x`, `trailing_data: data after the job object`},
		{`{"tasks":[1]}`, `bad_class: class: want 1 to 100 bytes`},
		{`{"class":null,"tasks":[1]}`, `bad_class: class: want 1 to 100 bytes`},
		{job(`,"team":"` + strings.Repeat("x", 101) + `"`), `bad_team: team: want at most 100 bytes`},
		{`{"class":"c"}`, `bad_tasks: tasks: got 0, want 1 to 570`},
		{`{"class":"c","tasks":[]}`, `bad_tasks: tasks: got 0, want 1 to 570`},
		{`{"class":"c","tasks":` + tasksOf(571) + `}`, `bad_tasks: tasks: got 571, want 1 to 570`},
		{job(`,"deadline_ms":0`), `bad_deadline: deadline_ms: got 0, want 1 to 600000`},
		{job(`,"deadline_ms":-1`), `bad_deadline: deadline_ms: got -1, want 1 to 600000`},
		{job(`,"deadline_ms":600001`), `bad_deadline: deadline_ms: got 600001, want 1 to 600000`},
		{job(`,"deadline_ms":1.5`), `bad_json: deadline_ms: got a JSON number 1.5`},
		{job(`,"needs":{"memory_mb":-1}`), `bad_needs: needs.memory_mb: got -1, want 0 or more`},
		{job(`,"needs":{"run_ms":600001}`), `bad_needs: needs.run_ms: got 600001, want at most 600000`},
		{job(`,"key":"a/b"`), `bad_key: key: want at most 200 of A-Z a-z 0-9 . _ ~ : -`},
		{job(`,"idempotent":false`), `bad_key: key: a request that is not idempotent needs <unix milliseconds>-<unique text>`},
		{job(`,"idempotent":false,"key":"x-1"`), `bad_key: key: a request that is not idempotent needs <unix milliseconds>-<unique text>`},
		{
			`{"class":"c","tasks":["` + strings.Repeat("x", entryd.MaxPayloadBytes) + `"]}`,
			`bad_tasks: tasks[0]: got 1048578 bytes, want at most 1048576`,
		},
	}
	for _, c := range cases {
		_, err := entryd.DecodeJob([]byte(c.body))
		assert.Assert(t, err != nil, c.body)
		assert.Equal(t, err.Error(), c.want)
		assert.Equal(t, err.Status, 400)
	}
}

// FuzzDecodeJob guards against input that crashes the decoder, and against accepted
// requests that exceed a limit or have payloads that are not JSON.
func FuzzDecodeJob(f *testing.F) {
	f.Add([]byte(`{"class":"quote","tasks":[{"a":1},null,"x"]}`))
	f.Add([]byte(`{"class":"c","team":"t","key":"1700000000000-a","idempotent":false,"deadline_ms":5,"needs":{"run_ms":7},"tasks":[1]}`))
	f.Add([]byte(`{"class":"c","tasks":[1]}{}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		req, err := entryd.DecodeJob(body)
		if err != nil {
			if err.Status/100 != 4 || err.Reason == "" {
				t.Fatalf("error without a 4xx status or a reason: %+v", err)
			}
			return
		}
		if !json.Valid(body) {
			t.Fatal("accepted a body that is not JSON")
		}
		if req.Class == "" || len(req.Tasks) == 0 || len(req.Tasks) > 570 || req.Deadline <= 0 {
			t.Fatalf("accepted an invalid request: %+v", req)
		}
		for i, p := range req.Tasks {
			if !json.Valid(p) {
				t.Fatalf("task %d is not JSON", i)
			}
		}
	})
}

// Guards against a job with more tasks than are allowed that is decoded before it is refused,
// and against jobs that are refused because their tasks are counted wrongly.
func FuzzDecodeTasks(f *testing.F) {
	f.Add([]byte(`[1,"a,[\"]",{"b":[2,3]},[],null]`))
	f.Add([]byte(`[` + strings.Repeat("0,", wire.MaxTasksPerJob) + `0]`))
	f.Add([]byte(" [ \"\\\\\" , \"\\\"\" ] "))
	f.Fuzz(func(t *testing.T, tasks []byte) {
		var want []json.RawMessage
		if json.Unmarshal(tasks, &want) != nil {
			return
		}
		req, err := entryd.DecodeJob([]byte(`{"class":"c","tasks":` + string(tasks) + `}`))
		allowed := len(want) > 0 && len(want) <= wire.MaxTasksPerJob
		assert.Equal(t, err == nil, allowed, "%v", err)
		if allowed {
			assert.DeepEqual(t, req.Tasks, want)
		}
	})
}
