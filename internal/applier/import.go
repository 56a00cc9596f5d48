package applier

import (
	"fmt"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/controller/controllerpb"
	"github.com/dragonflycroft/dragonflycroft/internal/marshaller"
)

// importConfig applies a document from an external operator interface if its revision is higher than the current one.
// It returns the resulting configuration version in both cases, so that a retried command succeeds.
func (m *StateMachine) importConfig(unixMS int64, in *controllerpb.ImportConfig) (uint64, error) {
	if m.config != nil && m.config.Import != nil && in.GetRevision() <= m.config.Import.Revision {
		return m.version, nil
	}
	cfg := &configurer.Config{Import: &configurer.Import{Revision: in.GetRevision(), Document: in.GetDocument()}}
	document, err := configurer.Encode(cfg)
	if err != nil {
		return 0, &marshaller.MalformedCommandError{Reason: err.Error()}
	}
	if cfg, err = configurer.DecodeAccepted(document); err != nil {
		return 0, err
	}
	// The history entry identifies the import by its revision and omits the document, which is as large as the whole
	// configuration.
	m.accept(unixMS, document, cfg, marshaller.Revision{
		PatchID: fmt.Sprintf("import/%d", in.GetRevision()), Author: in.GetAuthor(), Base: m.version,
	})
	return m.version, nil
}
