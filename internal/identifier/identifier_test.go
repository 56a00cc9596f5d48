package identifier

import "testing"

// Guards against ids that are read wrongly, and against ids that another workspace can use.
func TestParse(t *testing.T) {
	id := New(Owner("rack-1.host-2", 7), 42, "w")
	if host, owner, ok := Parse(id, "w"); host != "rack-1.host-2" || owner != "rack-1.host-2.7" || !ok {
		t.Errorf("%s: %q %q %v", id, host, owner, ok)
	}
	for _, test := range []struct{ id, workspace string }{
		{id, "other"}, {id + "0", "w"}, {"", "w"}, {"-", "w"}, {"a.b", "w"}, {"a.1.2-000000000000", "w"}, {id[:len(id)-1], "w"},
	} {
		if _, _, ok := Parse(test.id, test.workspace); ok {
			t.Errorf("%q was accepted for workspace %q", test.id, test.workspace)
		}
	}
}
