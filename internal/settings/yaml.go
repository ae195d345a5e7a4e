package settings

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// maxFileBytes is the largest size of one file of declarations.
const maxFileBytes = 4 << 20

// ReadFolder reads all .yaml and .yml files in folder and its subfolders, or the
// one file that folder names, as one set of declarations. The error is a Faults
// with all faults of the declarations, or an I/O error.
func ReadFolder(folder string) (*Declarations, error) {
	names, err := yamlFiles(folder)
	if err != nil {
		return nil, err
	}
	if len(names) == 0 {
		return nil, fmt.Errorf("%s contains no .yaml or .yml file", folder)
	}
	r := newReader()
	for _, name := range names {
		text, err := readBounded(name)
		if err != nil {
			return nil, err
		}
		r.parseFile(name, text)
	}
	return r.finish()
}

// ParseFile parses text, the content of the file called name, as a complete set
// of declarations. The error is a Faults with all faults.
func ParseFile(name string, text []byte) (*Declarations, error) {
	r := newReader()
	r.parseFile(name, text)
	return r.finish()
}

// yamlFiles lists the YAML files below a folder, sorted by path. If folder is a
// YAML file, it lists that file.
func yamlFiles(folder string) ([]string, error) {
	var names []string
	err := filepath.WalkDir(folder, func(path string, e os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		ext := filepath.Ext(path)
		if !e.IsDir() && (ext == ".yaml" || ext == ".yml") {
			names = append(names, path)
		}
		return nil
	})
	sort.Strings(names)
	return names, err
}

// readBounded returns the content of a file, or an error if the file is larger
// than maxFileBytes.
func readBounded(name string) ([]byte, error) {
	info, err := os.Stat(name)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("%s is larger than %d bytes", name, maxFileBytes)
	}
	return os.ReadFile(name)
}

// position is the place of a field in the files.
type position struct {
	file string
	line int
}

// reader converts YAML files to declarations. It records the position of each
// field by its path, so that faults found later can name file and line.
type reader struct {
	decls     Declarations
	faults    Faults
	positions map[string]position
	file      string
}

func newReader() *reader { return &reader{positions: map[string]position{}} }

// finish validates and sorts the declarations and returns them, or all faults
// found while reading and validating as a Faults.
func (r *reader) finish() (*Declarations, error) {
	for _, f := range r.decls.Validate() {
		pos := r.positionOf(f.Field)
		f.File, f.Line = pos.file, pos.line
		r.faults = append(r.faults, f)
	}
	if err := r.faults.orNil(); err != nil {
		return nil, err
	}
	r.decls.Sort()
	return &r.decls, nil
}

// positionOf returns the position of a field, or of its nearest parent that has
// one. Failing that, it returns the file that was read last, without a line.
func (r *reader) positionOf(field string) position {
	for field != "" {
		if pos, ok := r.positions[field]; ok {
			return pos
		}
		cut := strings.LastIndexByte(field, '.')
		if cut < 0 {
			break
		}
		field = field[:cut]
	}
	return position{file: r.file}
}

// addFault records a fault at the line of n.
func (r *reader) addFault(n ast.Node, field, format string, args ...any) {
	f := Fault{File: r.file, Line: lineOf(n), Field: field, Message: fmt.Sprintf(format, args...)}
	r.faults = append(r.faults, f)
}

// lineOf returns the line of n, or 0 if it is not known.
func lineOf(n ast.Node) int {
	if n == nil || n.GetToken() == nil || n.GetToken().Position == nil {
		return 0
	}
	return n.GetToken().Position.Line
}

// parseFile adds the declarations in text, the content of one file. A file may
// contain several YAML documents.
func (r *reader) parseFile(name string, text []byte) {
	r.file = name
	file, err := parser.ParseBytes(text, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		r.addSyntaxFault(err)
		return
	}
	for _, doc := range file.Docs {
		if doc.Body != nil {
			r.readDocument(doc.Body)
		}
	}
}

// addSyntaxFault records an error of the YAML parser as a fault.
func (r *reader) addSyntaxFault(err error) {
	f := Fault{File: r.file, Message: err.Error()}
	var y yaml.Error
	if errors.As(err, &y) && y.GetToken() != nil {
		f.Line = y.GetToken().Position.Line
		f.Message = "invalid YAML: " + y.GetMessage()
	}
	r.faults = append(r.faults, f)
}

// field is one key of a mapping with its value and its dotted path.
type field struct {
	key   string
	path  string
	value ast.Node
}

// fields returns the fields of the mapping n and records their positions. A
// node that is not a mapping and a duplicate key are recorded as faults.
func (r *reader) fields(n ast.Node, path string) []field {
	values, ok := mappingValues(n)
	if !ok {
		r.addFault(n, strings.TrimSuffix(path, "."), "expected a mapping of fields")
		return nil
	}
	var list []field
	seen := map[string]bool{}
	for _, v := range values {
		key := currentName(path, v.Key.GetToken().Value)
		f := field{key: key, path: path + key, value: v.Value}
		if seen[key] {
			r.addFault(v.Key, f.path, "duplicate key in mapping")
			continue
		}
		seen[key] = true
		if _, ok := r.positions[f.path]; !ok {
			r.positions[f.path] = position{r.file, lineOf(v.Key)}
		}
		list = append(list, f)
	}
	return list
}

// queuesPath is the prefix of the paths of all queues.
const queuesPath = "queues."

// currentName returns the current name of the field key at path. Workspaces were
// called teams in earlier declarations, and files that say so are still accepted.
func currentName(path, key string) string {
	inQueue := strings.HasPrefix(path, queuesPath) && path != queuesPath
	switch {
	case path == "" && key == "teams":
		return "workspaces"
	case inQueue && key == "team":
		return "workspace"
	case key == "team.jobs-queued":
		return string(JobsQueued)
	}
	return key
}

// mappingValues returns the key-value pairs of a mapping; false if n is not a
// mapping. A null node, such as the value of "workspaces:" with nothing after it,
// counts as an empty mapping.
func mappingValues(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch m := n.(type) {
	case *ast.MappingNode:
		return m.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{m}, true
	case *ast.NullNode:
		return nil, true
	}
	return nil, false
}

// scalar returns the text of a scalar value. Any other node is recorded as a
// fault.
func (r *reader) scalar(f field) (string, bool) {
	switch n := f.value.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		return n.GetToken().Value, true
	}
	r.addFault(f.value, f.path, "expected a scalar value")
	return "", false
}
