// Package lister reads the platform's lagging list of live and leaving endpoints.
package lister

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

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

// StateError reports a host with a state that the list format does not know.
type StateError struct {
	Name  string
	State string
}

// Error implements error.
func (e *StateError) Error() string {
	return fmt.Sprintf("host list: %q has unknown state %q", e.Name, e.State)
}

// HTTPSource reads the list as JSON from GET /v1/hosts.
type HTTPSource struct {
	Addr     string
	Timeouts connector.Timeouts
}

// Path is where the platform serves its list.
const Path = "/v1/hosts"

// Fetch returns the current list. A list that is wrong in any part is refused as a whole.
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

// Decode parses the JSON form of the list.
func Decode(data []byte) (List, error) {
	var wire struct {
		AgeMS int64 `json:"age_ms"`
		Hosts []struct {
			Name  string `json:"name"`
			State string `json:"state"`
		} `json:"hosts"`
	}
	if err := json.Unmarshal(data, &wire); err != nil {
		return List{}, eris.Wrap(err, "decode host list")
	}
	if wire.AgeMS < 0 {
		return List{}, errors.New("host list: negative age")
	}
	list := List{Age: time.Duration(wire.AgeMS) * time.Millisecond}
	for _, h := range wire.Hosts {
		switch h.State {
		case "live":
			list.Live = append(list.Live, h.Name)
		case "leaving":
			list.Leaving = append(list.Leaving, h.Name)
		default:
			return List{}, &StateError{Name: h.Name, State: h.State}
		}
	}
	return list, nil
}
