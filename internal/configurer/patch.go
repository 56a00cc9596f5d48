package configurer

import (
	"reflect"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

// CheckPatch checks a merge patch without the document that it is applied to. The error is an *InvalidError.
func CheckPatch(patch []byte) error {
	if len(patch) > MaxPatchBytes {
		return newInvalidError("", "a patch of %d bytes is above the limit of %d", len(patch), MaxPatchBytes)
	}
	tree, problems, err := parse(patch)
	if err != nil {
		return err
	}
	problems = append(problems, checkTypes("", tree, reflect.TypeFor[Config](), true)...)
	if len(problems) > 0 {
		return &InvalidError{Problems: problems}
	}
	return nil
}

// ApplyPatch applies a JSON merge patch (RFC 7396) to a document and returns the new configuration and its canonical form. It
// validates the result; the error is an *InvalidError. The input is not modified.
func ApplyPatch(document, patch []byte) (*Config, []byte, error) {
	if err := CheckPatch(patch); err != nil {
		return nil, nil, err
	}
	return merge(document, patch, Decode)
}

// ApplyAcceptedPatch applies a patch that was accepted before. It validates neither the patch nor the result.
func ApplyAcceptedPatch(document, patch []byte) (*Config, []byte, error) {
	return merge(document, patch, DecodeAccepted)
}

func merge(document, patch []byte, read func([]byte) (*Config, error)) (*Config, []byte, error) {
	if len(document) == 0 {
		document = []byte("{}")
	}
	merged, err := jsonpatch.MergePatch(document, patch)
	if err != nil {
		return nil, nil, newInvalidError("", "cannot merge: %v", err)
	}
	cfg, err := read(merged)
	if err != nil {
		return nil, nil, err
	}
	canonical, err := Encode(cfg)
	if err != nil {
		return nil, nil, newInvalidError("", "cannot encode: %v", err)
	}
	return cfg, canonical, nil
}
