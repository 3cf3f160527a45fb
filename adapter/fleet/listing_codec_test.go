package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
)

// Guards against fields of the list of servers that are lost between instances, and against a message of an earlier
// version, without the optional fields, that is read differently.
func TestServerCodec(t *testing.T) {
	l := dispatch.Listing{
		Name: "i-1", Group: "core", Address: "10.0.0.1:80", DataCentre: "a", Role: dispatch.Primary, Slots: 3, Draining: true, Incarnation: 5,
	}
	t.Run("warm", func(t *testing.T) { require.Equal(t, l, decodeServer(encodeServer(l))) })
	t.Run("an earlier version sends no state", func(t *testing.T) { require.Nil(t, encodeServer(l).Cold) })
	t.Run("cold", func(t *testing.T) {
		l.Cold = true
		require.Equal(t, l, decodeServer(encodeServer(l)))
	})
}
