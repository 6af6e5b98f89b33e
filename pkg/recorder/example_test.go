package recorder_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"

	"github.com/gullvale/gullvale/internal/standin/platform"
	"github.com/gullvale/gullvale/pkg/recorder"
	"github.com/gullvale/gullvale/pkg/storer"
)

func ExampleLog() {
	s := httptest.NewServer(&platform.Server{})
	defer s.Close()
	l := &recorder.Log{Store: &storer.Client{Address: s.URL}, Prefix: "Menu/"}
	ctx := context.Background()
	for _, dish := range []string{`"soup"`, `"fish"`} {
		c := recorder.Change{ID: recorder.ChangeID(dish), Who: "anna", Body: json.RawMessage(dish)}
		// No earlier change conflicts with c.
		_, err := l.Append(ctx, c, 0, func(recorder.Change) error { return nil })
		if err != nil {
			fmt.Println(err)
		}
	}
	all, _ := l.Read(ctx, 0)
	for _, c := range all {
		fmt.Println(c.Number, string(c.Body))
	}
	// Output:
	// 1 "soup"
	// 2 "fish"
}
