// Package maintenance implements the HTTP request with which an operator asks an instance for the data centres in
// maintenance and their progress.
package maintenance

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/proxy"
)

const (
	// Path is the path of the request on the port that serves the metrics.
	Path = "/maintenance"
	// callTimeout limits a call to an instance, which answers from its memory.
	callTimeout = 5 * time.Second
	// maxResponseSize is the maximum size of a response in bytes. An entry has less than 1 KiB per group.
	maxResponseSize = 1 << 20
)

// DataCentre is the progress of the maintenance of one data centre, as seen by the instance that was asked.
type DataCentre struct {
	Name string `json:"data_centre"`
	// ElapsedMS is how long ago the instance learned of the maintenance, in milliseconds.
	ElapsedMS int64 `json:"elapsed_ms"`
	// Known is false if no server and no instance is in the data centre.
	Known bool `json:"known"`
	// Groups are the groups whose primary is still in the data centre.
	Groups []string `json:"groups"`
	// Running is the number of statements and open transactions of the instance at servers in the data centre.
	Running int `json:"running"`
}

// NewHandler returns the handler of the request. status must be safe for concurrent use; it is nil if the deployment has
// no maintenance.
func NewHandler(status func() []proxy.MaintenanceStatus) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if status == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		list := make([]DataCentre, 0)
		for _, s := range status() {
			list = append(list, DataCentre{
				Name: s.DataCentre, ElapsedMS: s.Elapsed.Milliseconds(), Known: s.IsKnown, Groups: append([]string{}, s.Groups...), Running: s.Running,
			})
		}
		w.Header().Set("Content-Type", "application/json")
		// The operator sees an incomplete response as a failed call.
		_ = json.NewEncoder(w).Encode(list)
	})
}

// List asks the instance whose metrics are served at the address.
func List(ctx context.Context, address string) ([]DataCentre, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+Path, nil)
	if err != nil {
		return nil, port.Wrapf(err, port.Invalid, "the address %q cannot be used", address)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, port.Wrapf(err, port.Unavailable, "the instance at %s does not answer", address)
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return nil, port.Errorf(port.NotFound, "the instance at %s has no maintenance: its settings have no bounds.evacuation_ms", address)
	default:
		return nil, port.Errorf(port.Unavailable, "the instance at %s answered with status %d", address, resp.StatusCode)
	}
	var list []DataCentre
	err = json.NewDecoder(io.LimitReader(resp.Body, maxResponseSize)).Decode(&list)
	return list, port.Wrapf(err, port.Unavailable, "the answer of the instance at %s cannot be read", address)
}
