// Package config reads and validates the settings files of processes. A file is JSON with comments; unknown and
// duplicate fields are errors. Durations have their unit in the field name, as in suspect_after_ms.
package config

import (
	"bytes"
	"cmp"
	"fmt"
	"os"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/tailscale/hujson"
)

// Validator is a settings value that can validate itself.
type Validator interface {
	// Validate returns an error for every invalid field.
	Validate() []FieldError
}

// FieldError is the error of one invalid field of a settings file.
type FieldError struct {
	// Field is the name of the field in the file.
	Field string
	// Problem describes the error and contains the invalid value.
	Problem string
	// Line is the line of the field in the file, counted from one; zero if the field is absent.
	Line int
}

// String returns the error in the form: line N: field "name": problem.
func (e FieldError) String() string {
	if e.Line == 0 {
		return fmt.Sprintf("field %q: %s", e.Field, e.Problem)
	}
	return fmt.Sprintf("line %d: field %q: %s", e.Line, e.Field, e.Problem)
}

// Load decodes the file at path into the given settings, whose values are the defaults of absent fields. It returns all
// invalid fields, or an error if the file cannot be read.
func Load[T Validator](path string, into T) ([]FieldError, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings file")
	}
	return Parse(raw, into), nil
}

// Parse decodes raw into the given settings, whose values are the defaults of absent fields, and returns all invalid
// fields.
func Parse[T Validator](raw []byte, into T) []FieldError {
	std, err := hujson.Standardize(bytes.Clone(raw))
	if err != nil {
		return []FieldError{{Field: "", Problem: err.Error()}}
	}
	errs := decodeFields(std, into)
	for _, e := range into.Validate() {
		e.Line = lineOfField(std, e.Field)
		errs = append(errs, e)
	}
	slices.SortStableFunc(errs, func(a, b FieldError) int { return cmp.Compare(a.Line, b.Line) })
	return errs
}

// decodeFields decodes one member at a time, so that an invalid field does not hide errors in later ones.
func decodeFields(std []byte, into any) []FieldError {
	var errs []FieldError
	dec := jsontext.NewDecoder(bytes.NewReader(std), jsontext.AllowDuplicateNames(true))
	tok, err := dec.ReadToken()
	if err != nil || tok.Kind() != '{' {
		return []FieldError{{Problem: "settings must be one JSON object", Line: 1}}
	}
	seen := make(map[string]int)
	for dec.PeekKind() != '}' {
		name, err := dec.ReadToken()
		if err != nil {
			return append(errs, FieldError{Problem: err.Error(), Line: lineAt(std, dec.InputOffset())})
		}
		field := name.String()
		line := lineAt(std, dec.InputOffset())
		val, err := dec.ReadValue()
		if err != nil {
			return append(errs, FieldError{Field: field, Problem: err.Error(), Line: line})
		}
		if first, dup := seen[field]; dup {
			errs = append(errs, FieldError{Field: field, Problem: fmt.Sprintf("set before on line %d", first), Line: line})
			continue
		}
		seen[field] = line
		if p := decodeField(field, val, into); p != "" {
			errs = append(errs, FieldError{Field: field, Problem: p, Line: line})
		}
	}
	return errs
}

func decodeField(field string, val jsontext.Value, into any) string {
	quoted, err := jsontext.AppendQuote(nil, field)
	if err != nil {
		return err.Error()
	}
	doc := append(append(append([]byte("{"), quoted...), ':'), val...)
	err = json.Unmarshal(append(doc, '}'), into, json.RejectUnknownMembers(true))
	if err == nil {
		return ""
	}
	if errors.Is(err, json.ErrUnknownName) {
		return "no such field"
	}
	var sem *json.SemanticError
	if errors.As(err, &sem) && sem.GoType != nil {
		return fmt.Sprintf("value %s does not fit the type %s", val, sem.GoType)
	}
	return fmt.Sprintf("value %s does not fit: %s", val, err)
}

func lineAt(b []byte, off int64) int {
	return 1 + bytes.Count(b[:min(int(off), len(b))], []byte("\n"))
}

func lineOfField(std []byte, field string) int {
	i := bytes.Index(std, []byte(`"`+field+`"`))
	if i < 0 {
		return 0
	}
	return lineAt(std, int64(i))
}
