package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"cornelwall"
)

// declaredProfile is a profile as declared in a file.
type declaredProfile struct {
	cornelwall.Profile
	position string // "file:line"
}

// readProfiles reads profiles from YAML files, and from the .yaml and .yml files below
// directories. The error joins every problem of every file, each with its position.
func readProfiles(paths []string) ([]declaredProfile, error) {
	if len(paths) == 0 {
		return nil, errors.New("no file is named; name profile files or directories of them")
	}
	var ds []declaredProfile
	var errs []error
	for _, path := range paths {
		files, err := listFiles(path)
		errs = append(errs, err)
		for _, file := range files {
			more, err := readProfileFile(file)
			ds = append(ds, more...)
			errs = append(errs, err)
		}
	}
	errs = append(errs, checkDuplicates(ds))
	return ds, errors.Join(errs...)
}

// checkDuplicates reports names that are declared more than once.
func checkDuplicates(ds []declaredProfile) error {
	var errs []error
	first := map[string]string{}
	for _, d := range ds {
		if position, ok := first[d.Name]; ok && d.Name != "" {
			errs = append(errs, fmt.Errorf("%s: profile %q is declared at %s too; keep one", d.position, d.Name, position))
			continue
		}
		first[d.Name] = d.position
	}
	return errors.Join(errs...)
}

// listFiles returns path itself or, of a directory, the YAML files below it.
func listFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil || !info.IsDir() {
		return []string{path}, nil // readProfileFile reports the problem
	}
	var files []string
	err = filepath.WalkDir(path, func(file string, d fs.DirEntry, err error) error {
		if ext := filepath.Ext(file); err == nil && !d.IsDir() && (ext == ".yaml" || ext == ".yml") {
			files = append(files, file)
		}
		return err
	})
	if err == nil && len(files) == 0 {
		err = fmt.Errorf("%s: no .yaml or .yml file in this directory; add profiles to it", path)
	}
	return files, err
}

// readProfileFile reads the profiles of one file, one per YAML document.
func readProfileFile(file string) ([]declaredProfile, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("%w; name a file that can be read", err)
	}
	tree, err := parser.ParseBytes(text, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, fmt.Errorf("%s: not YAML: %s", errorPosition(file, err), yamlMessage(err))
	}
	var ds []declaredProfile
	var errs []error
	for _, doc := range tree.Docs {
		if doc.Body == nil {
			continue
		}
		d, err := decodeProfile(file, doc.Body)
		ds = append(ds, d)
		errs = append(errs, err)
	}
	if len(ds) == 0 {
		errs = append(errs, fmt.Errorf("%s: no profile; write at least its name and team", file))
	}
	return ds, errors.Join(errs...)
}

// decodeProfile reads one profile and reports every problem with the position of its field.
func decodeProfile(file string, body ast.Node) (declaredProfile, error) {
	d := declaredProfile{Profile: cornelwall.NewProfile(), position: fmt.Sprintf("%s:%d", file, body.GetToken().Position.Line)}
	m, ok := body.(ast.MapNode)
	if !ok {
		return d, fmt.Errorf("%s: not a profile; write fields such as \"name: seat-holds\"", d.position)
	}
	lines := map[string]int{}
	var errs []error
	for it := m.MapRange(); it.Next(); {
		field := it.Key().String()
		line := it.Key().GetToken().Position.Line
		if first, ok := lines[field]; ok {
			errs = append(errs, fmt.Errorf("%s:%d: field %q is set in line %d too; keep one", file, line, field, first))
			continue
		}
		lines[field] = line
		if err := yaml.NodeToValue(it.KeyValue(), &d.Profile, yaml.Strict()); err != nil {
			errs = append(errs, fmt.Errorf("%s:%d: %s", file, line, describeFieldError(field, err)))
		}
	}
	d.Normalise()
	errs = append(errs, addPositions(file, d.position, lines, d.Check()))
	return d, errors.Join(errs...)
}

// addPositions prefixes each joined error with the position of its field, or with that of the
// profile. The messages must begin with the name of the field.
func addPositions(file, position string, lines map[string]int, err error) error {
	if err == nil {
		return nil
	}
	var errs []error
	for _, text := range strings.Split(err.Error(), "\n") {
		field, _, _ := strings.Cut(text, " ")
		if line, ok := lines[field]; ok {
			errs = append(errs, fmt.Errorf("%s:%d: %s", file, line, text))
			continue
		}
		errs = append(errs, fmt.Errorf("%s: %s", position, text))
	}
	return errors.Join(errs...)
}

// describeFieldError returns the message to print for an error of the YAML library.
func describeFieldError(field string, err error) string {
	text := yamlMessage(err)
	switch {
	case strings.HasPrefix(text, "unknown field"):
		return fmt.Sprintf("field %q is unknown; use %s", field, strings.Join(fieldNames(), ", "))
	case strings.Contains(text, "cannot unmarshal"):
		return fmt.Sprintf("%s does not take such a value; docs/operators.md lists the values of each field", field)
	}
	return text
}

// yamlMessage returns the message of an error of the YAML library without the excerpt of
// the file.
func yamlMessage(err error) string {
	var ye yaml.Error
	if errors.As(err, &ye) {
		return ye.GetMessage()
	}
	return err.Error()
}

// errorPosition returns the position of an error of the YAML library, or the file alone.
func errorPosition(file string, err error) string {
	var ye yaml.Error
	if errors.As(err, &ye) && ye.GetToken() != nil {
		return fmt.Sprintf("%s:%d", file, ye.GetToken().Position.Line)
	}
	return file
}
