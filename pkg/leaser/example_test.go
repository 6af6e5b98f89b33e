package leaser_test

import (
	"context"
	"fmt"
	"net/http/httptest"

	"github.com/gullvale/gullvale/internal/standin/platform"
	"github.com/gullvale/gullvale/pkg/leaser"
	"github.com/gullvale/gullvale/pkg/storer"
)

func ExampleLease() {
	s := httptest.NewServer(&platform.Server{})
	defer s.Close()
	l := &leaser.Lease{
		Store:  &storer.Client{Address: s.URL},
		Name:   "Lease/Report",
		Holder: "process-17",
	}
	l.Step(context.Background())
	fence, held := l.Held()
	fmt.Println(fence, held)
	// Output: 1 true
}
