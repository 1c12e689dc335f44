package bundle

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Change is the difference in one field between two documents.
type Change struct {
	// Field is the path of the field. List items are given by their names.
	Field    string
	Old, New string
}

// String returns the change in one line.
func (c Change) String() string {
	switch {
	case c.Old == "":
		return fmt.Sprintf("+ %s: %s", c.Field, c.New)
	case c.New == "":
		return fmt.Sprintf("- %s: %s", c.Field, c.Old)
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Field, c.Old, c.New)
}

// Diff returns the changes from one document to another, ordered by field. The
// version and the parent are left out.
func Diff(from, to *Document) ([]Change, error) {
	before, err := flatten(from)
	if err != nil {
		return nil, err
	}
	after, err := flatten(to)
	if err != nil {
		return nil, err
	}
	var out []Change
	for field, value := range before {
		if after[field] != value {
			out = append(out, Change{Field: field, Old: value, New: after[field]})
		}
	}
	for field, value := range after {
		if _, ok := before[field]; !ok {
			out = append(out, Change{Field: field, New: value})
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return strings.Compare(a.Field, b.Field) })
	return out, nil
}

// flatten returns the values of a document's fields by the paths of the fields.
func flatten(d *Document) (map[string]string, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return nil, err
	}
	var tree map[string]any
	if err := json.Unmarshal(data, &tree); err != nil {
		return nil, err
	}
	delete(tree, "version")
	delete(tree, "parent")
	out := make(map[string]string)
	flattenInto("", tree, out)
	return out, nil
}

// flattenInto adds the fields of a value to out. The value itself is at the given
// path; fields with zero values are left out.
func flattenInto(path string, value any, out map[string]string) {
	switch v := value.(type) {
	case map[string]any:
		for name, child := range v {
			flattenInto(strings.TrimPrefix(path+"."+name, "."), child, out)
		}
	case []any:
		for i, child := range v {
			flattenInto(fmt.Sprintf("%s[%s]", path, itemName(i, child)), child, out)
		}
	default:
		if v != nil && !reflect.ValueOf(v).IsZero() {
			out[path] = fmt.Sprint(v)
		}
	}
}

// itemName returns the name of the list item at index i, or the index if the item has
// no name.
func itemName(i int, item any) string {
	if m, ok := item.(map[string]any); ok {
		if name, ok := m["name"].(string); ok {
			return name
		}
	}
	return fmt.Sprint(i)
}
