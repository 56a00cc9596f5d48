package estimator

import (
	"testing"
	"time"
)

// Guards against predicting the mean when lengths differ by a factor of 100, and against predictions above the limit.
func TestLengths(t *testing.T) {
	l := NewLengthPredictor()
	if got := l.Predict(0.65, 0, "a", ""); got != defaultOutputTokens {
		t.Errorf("without observations: predicted %d", got)
	}
	for i := range 300 {
		n := 20
		if i%10 == 0 {
			n = 2000
		}
		l.Observe(n, "a", "")
	}
	for _, c := range []struct {
		quantile  float64
		limit     int
		key       string
		low, high int
	}{
		{0.65, 0, "a", 20, 24},
		{0.95, 0, "a", 2000, 2400},
		{0.95, 500, "a", 500, 500},
		{0.65, 0, "unknown", 20, 24},
	} {
		if got := l.Predict(c.quantile, c.limit, c.key, ""); got < c.low || got > c.high {
			t.Errorf("%+v: predicted %d", c, got)
		}
	}
	for range 800 {
		l.Observe(300, "a")
	}
	if got := l.Predict(0.65, 0, "a"); got < 300 || got > 360 {
		t.Errorf("after a change of lengths to 300: predicted %d", got)
	}
}

// Guards against estimates that do not follow an endpoint that slows down, and against a best value that conceals it.
func TestSpeed(t *testing.T) {
	s := NewSpeed()
	for range 40 {
		s.ObserveFirstToken(1000, 100*time.Millisecond+s.Gap())
		s.ObserveGap(20, 400*time.Millisecond)
	}
	if p := s.Prefill(); p < 9000 || p > 11000 {
		t.Errorf("prefill %.0f tokens/s, want 10000", p)
	}
	if g := s.Gap(); g < 19*time.Millisecond || g > 21*time.Millisecond {
		t.Errorf("gap %s, want 20ms", g)
	}
	s.TakeBest()
	for range 40 {
		s.ObserveFirstToken(1000, 400*time.Millisecond+s.Gap())
		s.ObserveGap(20, 1600*time.Millisecond)
	}
	if p, g := s.Prefill(), s.Gap(); p > 2700 || g < 75*time.Millisecond {
		t.Errorf("at a quarter of the speed: prefill %.0f tokens/s, gap %s", p, g)
	}
	if prefill, gap := s.TakeBest(); prefill < 4e-4 || gap < 0.079 {
		t.Errorf("best values %f s and %f s include measurements from before the last call", prefill, gap)
	}
}
