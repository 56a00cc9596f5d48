package configurer

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strings"
)

// MaxDocumentBytes bounds a configuration document and a patch. A document with 3,200 workspaces of three callers takes
// about 2 MB.
const MaxDocumentBytes = 8 << 20

// MaxPatchBytes bounds a patch, so that its command fits into the replicated log.
const MaxPatchBytes = 3 << 20

// maxDepth bounds the nesting of a document, so that a malicious patch cannot exhaust the stack.
const maxDepth = 32

// Problem is one error in a document.
type Problem struct {
	// Path is the path of the value, for example "workspaces[2].callers[0].tiers[1]"; it is empty for the whole document.
	Path    string `json:"path"`
	Message string `json:"message"`
}

// InvalidError lists every problem of a document or patch.
type InvalidError struct{ Problems []Problem }

// Error implements error.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		if p.Path == "" {
			lines = append(lines, p.Message)
			continue
		}
		lines = append(lines, p.Path+": "+p.Message)
	}
	return "invalid configuration: " + strings.Join(lines, "; ")
}

// ErrorCode implements transporter.ErrorCoder.
func (e *InvalidError) ErrorCode() string { return "invalid" }

func newInvalidError(path, format string, args ...any) *InvalidError {
	return &InvalidError{Problems: []Problem{{Path: path, Message: fmt.Sprintf(format, args...)}}}
}

// Decode decodes a document strictly (unknown and repeated fields are problems) and validates it. The error is an *InvalidError
// that lists every problem.
func Decode(data []byte) (*Config, error) {
	tree, problems, err := parse(data)
	if err != nil {
		return nil, err
	}
	problems = append(problems, checkTypes("", tree, reflect.TypeFor[Config](), false)...)
	if len(problems) > 0 {
		return nil, &InvalidError{Problems: problems}
	}
	cfg := &Config{}
	if err := json.Unmarshal(data, cfg); err != nil {
		return nil, newInvalidError("", "%v", err)
	}
	if problems := Validate(cfg); len(problems) > 0 {
		return nil, &InvalidError{Problems: problems}
	}
	fillArrays(cfg)
	return cfg, nil
}

// DecodeAccepted decodes a document that was accepted before. It does not validate it again: later rules may be stricter, and an
// accepted version stays in force.
func DecodeAccepted(data []byte) (*Config, error) {
	cfg := &Config{}
	if err := json.Unmarshal(data, cfg); err != nil {
		return nil, newInvalidError("", "%v", err)
	}
	fillArrays(cfg)
	return cfg, nil
}

// fillArrays replaces missing arrays by empty ones. The canonical form would otherwise contain null, which Decode rejects.
func fillArrays(cfg *Config) {
	fillArray(&cfg.Tiers)
	fillArray(&cfg.Workspaces)
	fillArray(&cfg.Pools)
	fillArray(&cfg.Endpoints)
	for i := range cfg.Workspaces {
		fillArray(&cfg.Workspaces[i].Callers)
	}
}

func fillArray[T any](items *[]T) {
	if *items == nil {
		*items = []T{}
	}
}

// Encode returns the canonical JSON form of a configuration.
func Encode(cfg *Config) ([]byte, error) { return json.Marshal(cfg) }

// parse parses one JSON value and returns its repeated fields as problems, which encoding/json would silently overwrite.
func parse(data []byte) (any, []Problem, error) {
	if len(data) > MaxDocumentBytes {
		return nil, nil, newInvalidError("", "%d bytes are above the limit of %d", len(data), MaxDocumentBytes)
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	p := &parser{dec: dec}
	tree, err := p.value("", 0)
	if err != nil {
		return nil, nil, newInvalidError("", "not a JSON document: %v (at byte %d)", err, dec.InputOffset())
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, nil, newInvalidError("", "trailing data after the document at byte %d", dec.InputOffset())
	}
	return tree, p.problems, nil
}

type parser struct {
	dec      *json.Decoder
	problems []Problem
}

func (p *parser) value(path string, depth int) (any, error) {
	if depth > maxDepth {
		return nil, fmt.Errorf("nested deeper than %d levels", maxDepth)
	}
	token, err := p.dec.Token()
	if err != nil {
		return nil, err
	}
	switch token {
	case json.Delim('{'):
		return p.object(path, depth)
	case json.Delim('['):
		return p.array(path, depth)
	}
	return token, nil
}

func (p *parser) object(path string, depth int) (any, error) {
	out := map[string]any{}
	for p.dec.More() {
		token, err := p.dec.Token()
		if err != nil {
			return nil, err
		}
		name, _ := token.(string)
		field := joinPath(path, name)
		if _, repeated := out[name]; repeated {
			p.problems = append(p.problems, Problem{Path: field, Message: "field is repeated"})
		}
		if out[name], err = p.value(field, depth+1); err != nil {
			return nil, err
		}
	}
	_, err := p.dec.Token()
	return out, err
}

func (p *parser) array(path string, depth int) (any, error) {
	out := []any{}
	for p.dec.More() {
		v, err := p.value(fmt.Sprintf("%s[%d]", path, len(out)), depth+1)
		if err != nil {
			return nil, err
		}
		out = append(out, v)
	}
	_, err := p.dec.Token()
	return out, err
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// checkTypes compares a parsed value with a type and returns unknown fields and values of another type as problems. A patch may
// contain null, which removes a field.
func checkTypes(path string, v any, t reflect.Type, patch bool) []Problem {
	if v == nil {
		if patch && path != "" {
			return nil
		}
		return []Problem{{Path: path, Message: "must not be null"}}
	}
	switch t.Kind() {
	case reflect.Struct:
		return checkStructType(path, v, t, patch)
	case reflect.Slice:
		items, ok := v.([]any)
		if !ok {
			return []Problem{{Path: path, Message: "must be an array"}}
		}
		var problems []Problem
		for i, item := range items {
			// A merge patch replaces an array as a whole, so its items must be complete values.
			problems = append(problems, checkTypes(fmt.Sprintf("%s[%d]", path, i), item, t.Elem(), false)...)
		}
		return problems
	case reflect.String:
		_, ok := v.(string)
		return problemUnless(ok, path, "must be a string")
	case reflect.Bool:
		_, ok := v.(bool)
		return problemUnless(ok, path, "must be true or false")
	case reflect.Float64:
		n, ok := v.(json.Number)
		if ok {
			_, err := n.Float64()
			ok = err == nil
		}
		return problemUnless(ok, path, "must be a number")
	default:
		n, ok := v.(json.Number)
		if ok {
			_, err := n.Int64()
			ok = err == nil
		}
		return problemUnless(ok, path, "must be a whole number")
	}
}

func checkStructType(path string, v any, t reflect.Type, patch bool) []Problem {
	object, ok := v.(map[string]any)
	if !ok {
		return []Problem{{Path: path, Message: "must be an object"}}
	}
	fields := map[string]reflect.Type{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		fields[name] = t.Field(i).Type
	}
	var problems []Problem
	for _, name := range sortedKeys(object) {
		field, known := fields[name]
		if !known {
			problems = append(problems, Problem{Path: joinPath(path, name), Message: "unknown field"})
			continue
		}
		problems = append(problems, checkTypes(joinPath(path, name), object[name], field, patch)...)
	}
	return problems
}

func problemUnless(ok bool, path, message string) []Problem {
	if ok {
		return nil
	}
	return []Problem{{Path: path, Message: message}}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
