package check

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// At returns the position of the byte at an offset of a file.
func At(file []byte, offset int) Position {
	before := file[:min(max(0, offset), len(file))]
	return Position{Line: 1 + bytes.Count(before, []byte("\n")), Column: len(before) - bytes.LastIndexByte(before, '\n')}
}

// JSONPositions returns the position of each value of a JSON document by its path, such as "rows[2].prefix". The document itself has
// the empty path. After a syntax error it returns those up to there.
func JSONPositions(file []byte) map[string]Position {
	w := jsonWalker{file: file, decoder: json.NewDecoder(bytes.NewReader(file)), lineStart: -1, found: make(map[string]Position)}
	_ = w.walk("") // the caller decodes the document as well, and reports the error
	return w.found
}

// jsonWalker visits the values of a document in their order.
type jsonWalker struct {
	file    []byte
	decoder *json.Decoder
	found   map[string]Position
	// Up to passed, the document has lines newlines, the last of them at lineStart.
	passed, lines, lineStart int
}

// position returns the position of the next value or key of the document.
func (w *jsonWalker) position() Position {
	at := int(w.decoder.InputOffset())
	for at < len(w.file) && bytes.IndexByte([]byte(" \t\r\n,:"), w.file[at]) >= 0 {
		at++
	}
	for ; w.passed < at; w.passed++ {
		if w.file[w.passed] == '\n' {
			w.lines++
			w.lineStart = w.passed
		}
	}
	return Position{Line: 1 + w.lines, Column: at - w.lineStart}
}

// walk records the next value, at path, and those in it.
func (w *jsonWalker) walk(path string) error {
	w.found[path] = w.position()
	token, err := w.decoder.Token()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		prefix := path
		if prefix != "" {
			prefix += "."
		}
		for w.decoder.More() {
			key, err := w.decoder.Token()
			if err != nil {
				return err
			}
			if err := w.walk(prefix + fmt.Sprint(key)); err != nil {
				return err
			}
		}
		_, err = w.decoder.Token()
	case json.Delim('['):
		for i := 0; w.decoder.More(); i++ {
			if err := w.walk(fmt.Sprintf("%s[%d]", path, i)); err != nil {
				return err
			}
		}
		_, err = w.decoder.Token()
	}
	return err
}
