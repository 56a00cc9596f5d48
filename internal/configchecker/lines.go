package configchecker

import (
	"bytes"
	"encoding/json"
	"strings"
)

// Lines returns the line of each entry of a JSON document by its name.
func Lines(document []byte) map[string]int {
	out := map[string]int{}
	decoder := json.NewDecoder(bytes.NewReader(document))
	previous := ""
	for {
		token, err := decoder.Token()
		if err != nil {
			return out
		}
		text, _ := token.(string)
		if previous == "name" && text != "" {
			if _, known := out[text]; !known {
				out[text] = LineAt(document, decoder.InputOffset())
			}
		}
		previous = text
	}
}

// LineAt returns the line of an offset, counted from 1.
func LineAt(document []byte, offset int64) int {
	return 1 + bytes.Count(document[:min(max(offset, 0), int64(len(document)))], []byte("\n"))
}

// Locate sets the lines of findings.
func Locate(findings []Finding, lines map[string]int) {
	for i, f := range findings {
		if _, name, found := strings.Cut(f.Path, "."); found && f.Line == 0 && f.Message != "removed" {
			findings[i].Line = lines[name]
		}
	}
}
