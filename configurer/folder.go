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

// ReadFolder reads a set from the files of a folder and its subfolders whose
// names end in .json, and checks it. Files and folders whose names start with a
// dot are left out. A file holds an object or an array of objects. All faults
// are reported, those of Check too, each with the file of its object.
func ReadFolder(folder fs.FS) (Set, []Fault) {
	r := folderReader{origins: make(map[[2]string]string)}
	err := fs.WalkDir(folder, ".", func(name string, entry fs.DirEntry, err error) error {
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
		r.readFile(folder, name)
		return nil
	})
	if err != nil {
		r.faults = append(r.faults, Fault{Message: err.Error()})
	}
	for _, f := range Check(r.set) {
		f.File = r.origins[[2]string{f.Kind, f.Name}]
		r.faults = append(r.faults, f)
	}
	return r.set, r.faults
}

// A folderReader gathers a set and where its objects come from.
type folderReader struct {
	set    Set
	faults []Fault
	// origins holds the file of each object by kind and name.
	origins map[[2]string]string
}

func (r *folderReader) readFile(folder fs.FS, name string) {
	data, err := fs.ReadFile(folder, name)
	if err != nil {
		r.faults = append(r.faults, Fault{File: name, Message: err.Error()})
		return
	}
	objects, err := splitFile(data)
	if err != nil {
		r.faults = append(r.faults, Fault{File: name, Message: err.Error()})
		return
	}
	for _, raw := range objects {
		r.readObject(name, raw)
	}
}

func (r *folderReader) readObject(file string, raw json.RawMessage) {
	object := decodeObject(&r.set, raw)
	id := [2]string{object.kind, object.name}
	if object.duplicate {
		object.faults = append(object.faults, Fault{
			Kind: object.kind, Name: object.name, Message: "already given in " + r.origins[id],
		})
	}
	for _, f := range object.faults {
		f.File = file
		r.faults = append(r.faults, f)
	}
	r.origins[id] = file
}

// splitFile returns the objects of a file.
func splitFile(data []byte) ([]json.RawMessage, error) {
	var whole json.RawMessage
	if err := json.Unmarshal(data, &whole); err != nil {
		return nil, errors.New(describeSyntax(data, err))
	}
	if !bytes.HasPrefix(bytes.TrimSpace(whole), []byte("[")) {
		return []json.RawMessage{whole}, nil
	}
	var objects []json.RawMessage
	if err := json.Unmarshal(whole, &objects); err != nil {
		return nil, errors.WithStack(err)
	}
	return objects, nil
}

// describeSyntax adds the line to an error of the JSON syntax.
func describeSyntax(data []byte, err error) string {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return err.Error()
	}
	offset := min(int(syntax.Offset), len(data))
	line := 1 + bytes.Count(data[:offset], []byte("\n"))
	return fmt.Sprintf("line %d: %s", line, syntax.Error())
}
