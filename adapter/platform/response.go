package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/rhubarbwick/rhubarbwick/instance"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// response is the store's response to a request.
type response struct {
	status int
	etag   string
	body   []byte
}

func (r response) object(name string) (port.Object, error) {
	version, err := r.version()
	if err != nil {
		return port.Object{}, err
	}
	return port.Object{Name: name, Version: version, Data: r.body}, nil
}

func (r response) version() (port.Version, error) { return parseVersion(r.etag) }

// statusError returns the error of a response whose status is not a success.
func (r response) statusError(name string) error {
	switch r.status {
	case http.StatusNotFound:
		return port.Errorf(port.NotFound, "object %q does not exist", name)
	case http.StatusPreconditionFailed:
		return port.Errorf(port.Conflict, "object %q does not have the expected version", name)
	default:
		return port.Errorf(port.Unavailable, "store responded to the request for %q with status %d", name, r.status)
	}
}

// parseVersion parses an ETag, with or without quotes. Version zero is invalid because it means that an object does not
// exist.
func parseVersion(etag string) (port.Version, error) {
	text := strings.Trim(strings.TrimPrefix(etag, "W/"), `"`)
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n == 0 {
		return 0, port.Errorf(port.Unavailable, "store returned ETag %q, which is not a positive decimal version", etag)
	}
	return port.Version(n), nil
}

type listedObject struct {
	Name string `json:"name"`
	ETag string `json:"etag"`
}

type listedInstance struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	State      string `json:"state"`
}

func decodeObjects(data []byte) ([]port.Object, error) {
	var listed []listedObject
	if err := json.Unmarshal(data, &listed); err != nil {
		return nil, port.Wrapf(err, port.Unavailable, "cannot decode the store's list of objects")
	}
	objects := make([]port.Object, 0, len(listed))
	for _, l := range listed {
		version, err := parseVersion(l.ETag)
		if err != nil {
			return nil, err
		}
		objects = append(objects, port.Object{Name: l.Name, Version: version})
	}
	return objects, nil
}

// decodeInstances decodes the list of instances. An instance in an unknown state counts as departing, so that it is
// assigned no role.
func decodeInstances(data []byte) ([]instance.Instance, error) {
	var listed []listedInstance
	if err := json.Unmarshal(data, &listed); err != nil {
		return nil, port.Wrapf(err, port.Unavailable, "cannot decode the store's list of instances")
	}
	instances := make([]instance.Instance, 0, len(listed))
	for _, l := range listed {
		state := instance.Departing
		if l.State == string(instance.Live) {
			state = instance.Live
		}
		instances = append(instances, instance.Instance{
			Incarnation: l.ID, Address: l.Address, DataCentre: l.DataCentre, State: state,
		})
	}
	return instances, nil
}
