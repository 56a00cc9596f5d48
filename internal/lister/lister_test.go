package lister_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/lister"
)

// Guards against one entry that can't be read, or has a state of a later version of the platform, and takes the whole list with it: hosts that leave
// would go on to receive work.
func TestOddEntries(t *testing.T) {
	for name, c := range map[string]struct {
		entry   string
		leaving []string
	}{
		"unknown state": {`{"name":"x","state":"starting"}`, []string{"x", "b"}}, "no state": {`{"name":"x"}`, []string{"x", "b"}},
		"no name": {`{"state":"live"}`, []string{"b"}}, "other type": {`{"name":7,"state":"live"}`, []string{"b"}},
		"no object": {`"x"`, []string{"b"}}, "null": {"null", []string{"b"}},
	} {
		t.Run(name, func(t *testing.T) {
			list, err := lister.Decode([]byte(`{"age_ms":20,"hosts":[{"name":"a","state":"live"},` + c.entry + `,{"name":"b","state":"leaving"}]}`))
			want := lister.List{Age: 20 * time.Millisecond, Live: []string{"a"}, Leaving: c.leaving}
			if diff := cmp.Diff(want, list); err != nil || diff != "" {
				t.Errorf("%v, list (-want +got):\n%s", err, diff)
			}
		})
	}
	for _, broken := range []string{"", "{", `{"hosts":7}`, `{"age_ms":-1,"hosts":[]}`} {
		if list, err := lister.Decode([]byte(broken)); err == nil {
			t.Errorf("%q yields %v, want an error", broken, list)
		}
	}
}
