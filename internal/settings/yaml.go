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

// maxFileBytes bounds one file of declarations.
const maxFileBytes = 4 << 20

// ReadFolder reads all .yaml and .yml files below folder as one set of
// declarations. The error is Faults with everything that is wrong, or an I/O
// error.
func ReadFolder(folder string) (*Declarations, error) {
	names, err := yamlFiles(folder)
	if err != nil {
		return nil, err
	}
	if len(names) == 0 {
		return nil, fmt.Errorf("%s holds no .yaml file", folder)
	}
	r := newReader()
	for _, name := range names {
		text, err := readBounded(name)
		if err != nil {
			return nil, err
		}
		r.read(name, text)
	}
	return r.finish()
}

// ParseFile reads declarations from the text of one file.
func ParseFile(name string, text []byte) (*Declarations, error) {
	r := newReader()
	r.read(name, text)
	return r.finish()
}

// yamlFiles lists the files of a folder, or a file itself, in order.
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

func readBounded(name string) ([]byte, error) {
	info, err := os.Stat(name)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("%s is over %d bytes", name, maxFileBytes)
	}
	return os.ReadFile(name)
}

// place is where a field stands.
type place struct {
	file string
	line int
}

// reader turns YAML files into declarations and remembers where each field
// stands, so that faults found later can name file and line.
type reader struct {
	d      Declarations
	faults Faults
	places map[string]place
	file   string
}

func newReader() *reader { return &reader{places: map[string]place{}} }

// finish validates what was read and returns it, or all faults.
func (r *reader) finish() (*Declarations, error) {
	for _, f := range r.d.Validate() {
		at := r.find(f.Field)
		f.File, f.Line = at.file, at.line
		r.faults = append(r.faults, f)
	}
	if err := r.faults.orNil(); err != nil {
		return nil, err
	}
	r.d.Sort()
	return &r.d, nil
}

// find returns where field stands, or the nearest of its parents.
func (r *reader) find(field string) place {
	for field != "" {
		if at, ok := r.places[field]; ok {
			return at
		}
		cut := strings.LastIndexByte(field, '.')
		if cut < 0 {
			break
		}
		field = field[:cut]
	}
	return place{file: r.file}
}

func (r *reader) fault(n ast.Node, field, format string, args ...any) {
	f := Fault{File: r.file, Line: line(n), Field: field, Message: fmt.Sprintf(format, args...)}
	r.faults = append(r.faults, f)
}

// line returns the line of n; 0 if it is not known.
func line(n ast.Node) int {
	if n == nil || n.GetToken() == nil || n.GetToken().Position == nil {
		return 0
	}
	return n.GetToken().Position.Line
}

// read adds one file.
func (r *reader) read(name string, text []byte) {
	r.file = name
	file, err := parser.ParseBytes(text, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		r.syntax(err)
		return
	}
	for _, doc := range file.Docs {
		if doc.Body != nil {
			r.document(doc.Body)
		}
	}
}

// syntax records a fault of the YAML itself.
func (r *reader) syntax(err error) {
	f := Fault{File: r.file, Message: err.Error()}
	var y yaml.Error
	if errors.As(err, &y) && y.GetToken() != nil {
		f.Line = y.GetToken().Position.Line
		f.Message = "not YAML: " + y.GetMessage()
	}
	r.faults = append(r.faults, f)
}

// field is one key of a mapping with its value.
type field struct {
	key   string
	path  string
	value ast.Node
}

// fields lists a mapping's keys; what isn't a mapping, and a key given twice,
// is a fault.
func (r *reader) fields(n ast.Node, path string) []field {
	values, ok := mappingValues(n)
	if !ok {
		r.fault(n, strings.TrimSuffix(path, "."), "expected a mapping of fields")
		return nil
	}
	var list []field
	seen := map[string]bool{}
	for _, v := range values {
		key := presentName(path, v.Key.GetToken().Value)
		f := field{key: key, path: path + key, value: v.Value}
		if seen[key] {
			r.fault(v.Key, f.path, "given twice in one mapping")
			continue
		}
		seen[key] = true
		if _, ok := r.places[f.path]; !ok {
			r.places[f.path] = place{r.file, line(v.Key)}
		}
		list = append(list, f)
	}
	return list
}

// queuesPath is the path of the declared queues.
const queuesPath = "queues."

// presentName returns the name of a field at path; workspaces were called teams
// in earlier declarations.
func presentName(path, key string) string {
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

// scalar returns the text of a plain value; anything else is a fault.
func (r *reader) scalar(f field) (string, bool) {
	switch n := f.value.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		return n.GetToken().Value, true
	}
	r.fault(f.value, f.path, "expected one plain value")
	return "", false
}
