package client_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/limpettrail/limpettrail/client"
)

func ExampleClient_Submit() {
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, `{"outcome":"complete","results":[{"price":12},{"price":15}]}`)
	}))
	defer entry.Close()

	c, err := client.New(client.Options{Entries: []string{entry.URL}, Team: "desk"})
	if err != nil {
		fmt.Println(err)
		return
	}
	answer, err := c.Submit(context.Background(), client.Job{
		Class:    "quote",
		RunOnce:  true,
		Deadline: 2 * time.Second,
		Tasks:    []json.RawMessage{[]byte(`{"item":1}`), []byte(`{"item":2}`)},
	})
	var failure *client.Error
	if errors.As(err, &failure) {
		fmt.Println(failure.Outcome, failure.Reason)
		return
	}
	for _, r := range answer.Results {
		fmt.Println(string(r))
	}
	// Output:
	// {"price":12}
	// {"price":15}
}
