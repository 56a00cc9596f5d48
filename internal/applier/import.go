package applier

import (
	"fmt"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/controller/controllerpb"
	"github.com/dragonflycroft/dragonflycroft/internal/marshaller"
)

// importConfig puts a document of an outside operator interface in force unless its revision is not above the one held. The
// result is the version of the configuration in both cases, so that a command that is sent again succeeds.
func (m *Machine) importConfig(unixMS int64, in *controllerpb.ImportConfig) (uint64, error) {
	if m.config != nil && m.config.Import != nil && in.GetRevision() <= m.config.Import.Revision {
		return m.version, nil
	}
	cfg := &configurer.Config{Import: &configurer.Import{Revision: in.GetRevision(), Document: in.GetDocument()}}
	document, err := configurer.Encode(cfg)
	if err != nil {
		return 0, &marshaller.MalformedCommandError{Reason: err.Error()}
	}
	if cfg, err = configurer.Load(document); err != nil {
		return 0, err
	}
	// The history names an import by its revision and leaves the document out, which is as large as the whole configuration.
	m.accept(unixMS, document, cfg, marshaller.Revision{
		PatchID: fmt.Sprintf("import/%d", in.GetRevision()), Author: in.GetAuthor(), Base: m.version,
	})
	return m.version, nil
}
