package sidecar

import "testing"

// Guards against decisions by an old view right after a change: a departure was not passed on because the
// view had no other members yet.
func TestAChangeShowsInTheViewOnceItIsDone(t *testing.T) {
	control := NewControlLoop(Member{ID: "a"}, func(_, _ *View) {})
	go control.Run(t.Context())
	for i := range 20000 {
		leaving := i%2 == 0
		if err := control.Do(t.Context(), func(s *state) { s.leaving = leaving }); err != nil {
			t.Fatal(err)
		}
		if control.View().Leaving != leaving {
			t.Fatalf("change %d does not show", i)
		}
	}
}
