package configurer

import (
	"reflect"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

// CheckPatch reports the problems of a merge patch that do not depend on the document it is applied to.
func CheckPatch(patch []byte) error {
	if len(patch) > MaxPatchBytes {
		return invalid("", "a patch of %d bytes is above the limit of %d", len(patch), MaxPatchBytes)
	}
	tree, problems, err := parse(patch)
	if err != nil {
		return err
	}
	problems = append(problems, match("", tree, reflect.TypeFor[Config](), true)...)
	if len(problems) > 0 {
		return &InvalidError{Problems: problems}
	}
	return nil
}

// Apply applies a JSON merge patch (RFC 7396) to a document and returns the new document with its canonical form. The
// error is an *InvalidError; the input is left as it is.
func Apply(document, patch []byte) (*Config, []byte, error) {
	if err := CheckPatch(patch); err != nil {
		return nil, nil, err
	}
	return merge(document, patch, Decode)
}

// Merge applies a patch that was accepted before. Neither the patch nor the result is validated.
func Merge(document, patch []byte) (*Config, []byte, error) { return merge(document, patch, Load) }

func merge(document, patch []byte, read func([]byte) (*Config, error)) (*Config, []byte, error) {
	if len(document) == 0 {
		document = []byte("{}")
	}
	merged, err := jsonpatch.MergePatch(document, patch)
	if err != nil {
		return nil, nil, invalid("", "cannot merge: %v", err)
	}
	cfg, err := read(merged)
	if err != nil {
		return nil, nil, err
	}
	canonical, err := Encode(cfg)
	if err != nil {
		return nil, nil, invalid("", "cannot encode: %v", err)
	}
	return cfg, canonical, nil
}
