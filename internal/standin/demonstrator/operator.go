package demonstrator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gullvale/gullvale/internal/process/operator"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/recorder"
)

// operatorClient calls the operator API of one daemon.
type operatorClient struct {
	address string
}

func (f *fleet) operator() operatorClient {
	return operatorClient{address: f.daemons[0].Self().Operators}
}

func (p operatorClient) call(ctx context.Context, method, path string, body, answer any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return err
	}
	q, err := http.NewRequestWithContext(ctx, method, "http://"+p.address+path, bytes.NewReader(b))
	if err != nil {
		return err
	}
	q.Header.Set("Authorization", "Bearer "+demoToken)
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	if r.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", path, bytes.TrimSpace(data))
	}
	return json.Unmarshal(data, answer)
}

func (p operatorClient) status(ctx context.Context) (operator.Status, error) {
	var s operator.Status
	return s, p.call(ctx, http.MethodGet, operator.PathStatus, nil, &s)
}

func (p operatorClient) change(ctx context.Context, q operator.ChangeRequest) (recorder.Number, error) {
	var a operator.ChangeAnswer
	return a.Number, p.call(ctx, http.MethodPost, operator.PathChange, q, &a)
}

// set changes settings and returns the time until they were in force on all
// daemons.
func (p operatorClient) set(ctx context.Context, edits ...resolver.Edit) (time.Duration, error) {
	began := time.Now()
	n, err := p.change(ctx, operator.ChangeRequest{Edits: edits})
	if err != nil {
		return 0, err
	}
	for {
		var a operator.InForceAnswer
		path := fmt.Sprintf("%s?Number=%d", operator.PathInForce, n)
		if err := p.call(ctx, http.MethodGet, path, nil, &a); err != nil {
			return 0, err
		}
		if a.InForce == a.Members {
			return time.Since(began), nil
		}
		time.Sleep(readyPollInterval / 5)
	}
}
