package bench

import (
	"fmt"
	"testing"
	"time"
)

// TestReadYourWrites guards against a read from a replica that does not have the session's last write yet. One replica
// lags by five seconds, and the reads use another instance than the writes.
func TestReadYourWrites(t *testing.T) {
	f := newFixture(t)
	primary := f.awaitPrimary(0, nil)
	f.replicas(0, primary)[0].lag(f, 5*time.Second)
	writer := mustDial(t, f.members[0].clientAddress, f.writeLogin(0))
	plain := mustDial(t, f.members[2].clientAddress, f.readLogin(0))
	t.Run("without the token", func(t *testing.T) {
		for i := range 200 {
			value := fmt.Sprint(i)
			writer.mustExec(t, putSQL("tin", value))
			requireValue(t, plain, "tin", value)
		}
	})
	t.Run("with the token", func(t *testing.T) {
		for i := range 100 {
			value := fmt.Sprint("carried-", i)
			writer.mustExec(t, putSQL("tin", value))
			carried := mustDial(t, f.members[1+i%3].clientAddress, f.readLogin(0).withSession(writer.token()))
			requireValue(t, carried, "tin", value)
		}
	})
	t.Run("on the writing connection", func(t *testing.T) {
		for i := range 100 {
			value := fmt.Sprint("own-", i)
			writer.mustExec(t, putSQL("tin", value))
			requireValue(t, writer, "tin", value)
		}
	})
}
