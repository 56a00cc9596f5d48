package applier_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"github.com/dragonflycroft/dragonflycroft/internal/applier"
	"github.com/dragonflycroft/dragonflycroft/internal/controller/controllerpb"
)

func importConfig(t *testing.T, m *applier.StateMachine, revision uint64, document string) uint64 {
	t.Helper()
	raw, err := proto.Marshal(&controllerpb.Command{Body: &controllerpb.Command_ImportConfig{
		ImportConfig: &controllerpb.ImportConfig{Revision: revision, Document: []byte(document), Author: "operator"},
	}})
	if err != nil {
		t.Fatal(err)
	}
	result := &controllerpb.Result{}
	if err := proto.Unmarshal(m.Apply(1, raw), result); err != nil || result.GetFailure() != nil {
		t.Fatalf("import failed: %v %v", err, result.GetFailure())
	}
	return result.GetNumber()
}

// Guards against concurrent or retried imports that replace a newer revision: the highest revision stays active, an older or
// equal one succeeds without a change, and a restored snapshot behaves the same way.
func TestImport(t *testing.T) {
	m := applier.New()
	got := []uint64{
		importConfig(t, m, 5, `{"n":5}`), importConfig(t, m, 9, `{"n":9}`), importConfig(t, m, 7, `{"n":7}`),
		importConfig(t, m, 9, `{"n":"other"}`), importConfig(t, m, 5, `{"n":5}`),
	}
	if diff := cmp.Diff([]uint64{1, 2, 2, 2, 2}, got); diff != "" {
		t.Errorf("versions (-want +got):\n%s", diff)
	}
	snapshot, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := applier.New()
	if err := restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	for name, machine := range map[string]*applier.StateMachine{"running": m, "restored": restored} {
		version, _, cfg := machine.Config()
		if version != 2 || cfg.Import == nil || cfg.Import.Revision != 9 || string(cfg.Import.Document) != `{"n":9}` {
			t.Errorf("%s state: version %d import %+v", name, version, cfg.Import)
		}
		if n := importConfig(t, machine, 8, `{"n":8}`); n != 2 {
			t.Errorf("%s state: importing an older revision returned version %d, want 2", name, n)
		}
	}
}
