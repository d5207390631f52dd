package configurer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io/fs"
	"path"
	"strings"

	"github.com/pkg/errors"
)

// ReadDir reads a configuration from the .json files of a directory and its
// subdirectories, and checks it. It skips files and directories whose names
// start with a dot. A file contains an object or an array of objects. ReadDir
// returns all violations, including those found by Check, each with the file of
// its object.
func ReadDir(dir fs.FS) (Config, []Violation) {
	r := dirReader{sourceFiles: make(map[[2]string]string)}
	err := fs.WalkDir(dir, ".", func(name string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case name != "." && strings.HasPrefix(path.Base(name), "."):
			if entry.IsDir() {
				return fs.SkipDir
			}
			return nil
		case entry.IsDir() || path.Ext(name) != ".json":
			return nil
		}
		r.readFile(dir, name)
		return nil
	})
	if err != nil {
		r.violations = append(r.violations, Violation{Message: err.Error()})
	}
	for _, v := range Check(r.config) {
		v.File = r.sourceFiles[[2]string{v.Kind, v.Name}]
		r.violations = append(r.violations, v)
	}
	return r.config, r.violations
}

// A dirReader collects the objects of a configuration and the files that
// define them.
type dirReader struct {
	config     Config
	violations []Violation
	// sourceFiles maps the kind and name of each object to its file.
	sourceFiles map[[2]string]string
}

func (r *dirReader) readFile(dir fs.FS, name string) {
	data, err := fs.ReadFile(dir, name)
	if err != nil {
		r.violations = append(r.violations, Violation{File: name, Message: err.Error()})
		return
	}
	objects, err := splitObjects(data)
	if err != nil {
		r.violations = append(r.violations, Violation{File: name, Message: err.Error()})
		return
	}
	for _, raw := range objects {
		r.readObject(name, raw)
	}
}

func (r *dirReader) readObject(file string, raw json.RawMessage) {
	object := decodeObject(&r.config, raw)
	id := [2]string{object.kind, object.name}
	if object.duplicate {
		object.violations = append(object.violations, Violation{
			Kind: object.kind, Name: object.name, Message: "already given in " + r.sourceFiles[id],
		})
	}
	for _, v := range object.violations {
		v.File = file
		r.violations = append(r.violations, v)
	}
	r.sourceFiles[id] = file
}

// splitObjects returns the objects of a file: those of an array, or the only
// one.
func splitObjects(data []byte) ([]json.RawMessage, error) {
	var document json.RawMessage
	if err := json.Unmarshal(data, &document); err != nil {
		return nil, errors.New(describeSyntaxError(data, err))
	}
	if !bytes.HasPrefix(bytes.TrimSpace(document), []byte("[")) {
		return []json.RawMessage{document}, nil
	}
	var objects []json.RawMessage
	if err := json.Unmarshal(document, &objects); err != nil {
		return nil, errors.WithStack(err)
	}
	return objects, nil
}

// describeSyntaxError adds the line number to a JSON syntax error.
func describeSyntaxError(data []byte, err error) string {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return err.Error()
	}
	offset := min(int(syntax.Offset), len(data))
	line := 1 + bytes.Count(data[:offset], []byte("\n"))
	return fmt.Sprintf("line %d: %s", line, syntax.Error())
}
