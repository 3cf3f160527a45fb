package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/rhubarbwick/rhubarbwick/instance"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// answer is the store's answer to one request.
type answer struct {
	status int
	etag   string
	body   []byte
}

func (a answer) object(name string) (port.Object, error) {
	version, err := a.version()
	if err != nil {
		return port.Object{}, err
	}
	return port.Object{Name: name, Version: version, Data: a.body}, nil
}

func (a answer) version() (port.Version, error) { return parseVersion(a.etag) }

// refusal returns the error of an answer that is not a success.
func (a answer) refusal(name string) error {
	switch a.status {
	case http.StatusNotFound:
		return port.Errorf(port.NotFound, "object %q does not exist", name)
	case http.StatusPreconditionFailed:
		return port.Errorf(port.Conflict, "object %q has another version than expected", name)
	default:
		return port.Errorf(port.Unavailable, "store answered %q with status %d", name, a.status)
	}
}

// parseVersion reads an ETag, with or without quotes. Version zero is refused because it means "does not exist".
func parseVersion(etag string) (port.Version, error) {
	text := strings.Trim(strings.TrimPrefix(etag, "W/"), `"`)
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n == 0 {
		return 0, port.Errorf(port.Unavailable, "store's ETag %q is not a decimal version above zero", etag)
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
		return nil, port.Wrapf(err, port.Unavailable, "store's listing cannot be read")
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

// decodeInstances reads the list of instances. An entry in a state that this version does not know counts as
// departing, so that it gets no role.
func decodeInstances(data []byte) ([]instance.Instance, error) {
	var listed []listedInstance
	if err := json.Unmarshal(data, &listed); err != nil {
		return nil, port.Wrapf(err, port.Unavailable, "store's list of instances cannot be read")
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
