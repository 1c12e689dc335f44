package bundle

import (
	"encoding/json"
	"reflect"
	"strings"
)

// schema is a JSON schema.
type schema struct {
	Schema      string             `json:"$schema,omitempty"`
	Title       string             `json:"title,omitempty"`
	Type        string             `json:"type"`
	Description string             `json:"description,omitempty"`
	Minimum     *int               `json:"minimum,omitempty"`
	Pattern     string             `json:"pattern,omitempty"`
	Properties  map[string]*schema `json:"properties,omitempty"`
	Required    []string           `json:"required,omitempty"`
	Additional  *bool              `json:"additionalProperties,omitempty"`
	Items       *schema            `json:"items,omitempty"`
}

// durationPattern is the pattern of a Duration in text form.
const durationPattern = `^([0-9]+(\.[0-9]+)?(ns|us|µs|ms|s|m|h))+$`

// Schema returns the JSON schema of a bundle's document.
func Schema() ([]byte, error) {
	root := schemaOf(reflect.TypeFor[Document]())
	root.Schema = "https://json-schema.org/draft/2020-12/schema"
	root.Title = "savoryhoist bundle"
	return json.MarshalIndent(root, "", "  ")
}

func schemaOf(t reflect.Type) *schema {
	switch {
	case t == reflect.TypeFor[Duration]():
		return &schema{Type: "string", Pattern: durationPattern, Description: "a time such as 250ms or 2m"}
	case t.Kind() == reflect.Struct:
		return structSchema(t)
	case t.Kind() == reflect.Slice:
		return &schema{Type: "array", Items: schemaOf(t.Elem())}
	case t.Kind() == reflect.String:
		return &schema{Type: "string"}
	case t.Kind() == reflect.Bool:
		return &schema{Type: "boolean"}
	default:
		return &schema{Type: "integer", Minimum: new(int)}
	}
}

func structSchema(t reflect.Type) *schema {
	s := &schema{Type: "object", Properties: make(map[string]*schema), Additional: new(bool)}
	for i := range t.NumField() {
		tag := t.Field(i).Tag.Get("yaml")
		name, options, _ := strings.Cut(tag, ",")
		if name == "" {
			continue
		}
		s.Properties[name] = schemaOf(t.Field(i).Type)
		if !strings.Contains(options, "omitempty") {
			s.Required = append(s.Required, name)
		}
	}
	return s
}
