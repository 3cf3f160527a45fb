package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Guards against a read that goes away or returns twice, and against one that forgets why it returned.
func TestNextSpillRoute(t *testing.T) {
	busy := port.Errorf(port.Busy, "full")
	load := dispatch.PoolLoad{Wait: time.Second, RunTime: time.Millisecond}
	offer, away := SpillOffer{Bytes: 100}, SpillAway{Server: "i-2", MaxWait: time.Millisecond}
	refusal := &NotSentError{Err: &SpillRefusal{Err: busy, Load: load}}
	for _, c := range []struct {
		name string
		used SpillRoute
		err  error
		want SpillRoute
	}{
		{"advice is followed", offer, &NotSentError{Err: &SpillRefusal{Err: busy, Advice: away}}, away},
		{"a read that would be late at home stays", offer, &NotSentError{Err: busy}, SpillReturned{}},
		{"a lost connection changes nothing", offer, port.Errorf(port.Unavailable, "lost"), offer},
		{"a server's refusal changes nothing", offer, nil, offer},
		{"a refusal elsewhere is carried home", away, refusal, SpillReturned{Server: "i-2", Load: load}},
		{"a server's refusal elsewhere leads home", away, nil, SpillReturned{Server: "i-2"}},
		{"an owner that cannot be reached leads home", away, &NotSentError{Err: busy, OwnerUnavailable: true}, SpillReturned{Server: "i-2", Lost: true}},
		{"a read that returned stays", SpillReturned{Server: "i-2"}, &NotSentError{Err: &SpillRefusal{Err: busy, Advice: away}}, SpillReturned{Server: "i-2"}},
		{"other statements have no route", nil, refusal, nil},
	} {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.want, nextSpillRoute(c.used, c.err)) })
	}
}

// Guards against reads that are sent on to a server whose owner has just refused one or cannot be reached.
func TestReturnedReadsAreRecorded(t *testing.T) {
	local := dispatch.PoolLoad{Wait: time.Second, RunTime: 10 * time.Millisecond}
	values := dispatch.SpillValues{Second: 1}
	for name, c := range map[string]struct {
		returned SpillReturned
		leaves   bool
	}{
		"refused":           {SpillReturned{Server: "i-2", Load: local}, false},
		"lost":              {SpillReturned{Server: "i-2", Lost: true}, false},
		"not suitable once": {SpillReturned{Server: "i-2"}, true},
		"busy at home":      {SpillReturned{}, true},
		"of another group":  {SpillReturned{Server: "i-9", Load: local}, true},
	} {
		t.Run(name, func(t *testing.T) {
			var p spillState
			now := time.Second
			for range 20 {
				now += dispatch.SpillStepInterval
				p.over = p.over.WithSurvey("i-2", dispatch.SpillSurvey{Load: dispatch.PoolLoad{RunTime: local.RunTime}}, now)
				p.over, _ = p.over.WithRead(values, local, 100, now)
			}
			p.recordReturn(c.returned, now)
			left := false
			for range 5 {
				var placement dispatch.Placement
				p.over, placement = p.over.WithRead(values, local, 100, now)
				_, isAway := placement.(dispatch.SendAway)
				left = left || isAway
			}
			require.Equal(t, c.leaves, left)
		})
	}
}
