package identifier

import "testing"

// TestParse guards against IDs that are parsed incorrectly, and against IDs that are valid in another workspace.
func TestParse(t *testing.T) {
	id := New(Owner("rack-1.host-2", 7), 42, "w")
	if host, owner, ok := Parse(id, "w"); host != "rack-1.host-2" || owner != "rack-1.host-2.7" || !ok {
		t.Errorf("Parse(%s) = %q, %q, %v", id, host, owner, ok)
	}
	for _, test := range []struct{ id, workspace string }{
		{id, "other"}, {id + "0", "w"}, {"", "w"}, {"-", "w"}, {"a.b", "w"}, {"a.1.2-000000000000", "w"}, {id[:len(id)-1], "w"},
	} {
		if _, _, ok := Parse(test.id, test.workspace); ok {
			t.Errorf("Parse accepted ID %q for workspace %q", test.id, test.workspace)
		}
	}
}
