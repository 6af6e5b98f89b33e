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

func (c operatorClient) call(ctx context.Context, method, path string, body, response any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, bytes.NewReader(b))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+demoToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", path, bytes.TrimSpace(data))
	}
	return json.Unmarshal(data, response)
}

func (c operatorClient) status(ctx context.Context) (operator.Status, error) {
	var s operator.Status
	return s, c.call(ctx, http.MethodGet, operator.PathStatus, nil, &s)
}

func (c operatorClient) change(ctx context.Context, req operator.ChangeRequest) (recorder.Number, error) {
	var a operator.ChangeResponse
	return a.Number, c.call(ctx, http.MethodPost, operator.PathChange, req, &a)
}

// set changes settings and returns the time until they were in force on all
// daemons.
func (c operatorClient) set(ctx context.Context, edits ...resolver.Edit) (time.Duration, error) {
	began := time.Now()
	number, err := c.change(ctx, operator.ChangeRequest{Edits: edits})
	if err != nil {
		return 0, err
	}
	for {
		var a operator.InForceResponse
		path := fmt.Sprintf("%s?Number=%d", operator.PathInForce, number)
		if err := c.call(ctx, http.MethodGet, path, nil, &a); err != nil {
			return 0, err
		}
		if a.InForce == a.Members {
			return time.Since(began), nil
		}
		time.Sleep(readyPollInterval / 5)
	}
}
