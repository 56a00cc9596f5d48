// Package lister reads the platform's lagging list of live and leaving endpoints.
package lister

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/connector"
)

// List is one reading of the platform's list, by endpoint name.
type List struct {
	Age     time.Duration
	Live    []string
	Leaving []string
}

// Source fetches the current list.
type Source interface {
	Fetch(ctx context.Context) (List, error)
}

// HTTPSource reads the list as JSON from GET /v1/hosts.
type HTTPSource struct {
	Addr     string
	Timeouts connector.Timeouts
}

// Path is where the platform serves its list.
const Path = "/v1/hosts"

// Fetch returns the current list.
func (s *HTTPSource) Fetch(ctx context.Context) (List, error) {
	service := connector.NewService("host list", s.Addr, s.Timeouts)
	response, err := service.Do(ctx, connector.Call{Method: http.MethodGet, Path: Path}, func() {})
	if err != nil {
		return List{}, err
	}
	if response.Status != http.StatusOK {
		return List{}, eris.Errorf("host list: status %d", response.Status)
	}
	return Decode(response.Body)
}

// host is one entry of the list.
type host struct {
	Name  string `json:"name"`
	State string `json:"state"`
}

// Decode parses the JSON form of the list. An entry that can't be read does not affect the others. A host in a state that is not known
// counts as leaving: it gets no new work, and its work in progress is not given up.
func Decode(data []byte) (List, error) {
	var wire struct {
		AgeMS int64             `json:"age_ms"`
		Hosts []json.RawMessage `json:"hosts"`
	}
	if err := json.Unmarshal(data, &wire); err != nil {
		return List{}, eris.Wrap(err, "decode host list")
	}
	if wire.AgeMS < 0 {
		return List{}, errors.New("host list: negative age")
	}
	list := List{Age: time.Duration(wire.AgeMS) * time.Millisecond}
	for _, raw := range wire.Hosts {
		var h host
		switch err := json.Unmarshal(raw, &h); {
		case err != nil || h.Name == "":
			klog.V(1).InfoS("lister: entry skipped", "host", h.Name, "reason", err)
		case h.State == "live":
			list.Live = append(list.Live, h.Name)
		default:
			list.Leaving = append(list.Leaving, h.Name)
		}
	}
	return list, nil
}
