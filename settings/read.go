package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/pelletier/go-toml/v2"
)

// maxFileSize bounds a settings file, in bytes.
const maxFileSize = 1 << 20

// Error is one error in a settings file.
type Error struct {
	File    string
	Line    int    // 0 when unknown
	Key     string // dotted key, "" when the error concerns the whole file
	Value   string // the value found, "" when there is none
	Message string // what is permitted, or why the file cannot be used
}

// Error implements error.
func (e *Error) Error() string {
	var text strings.Builder
	text.WriteString(e.File)
	if e.Line > 0 {
		fmt.Fprintf(&text, ":%d", e.Line)
	}
	if e.Key != "" {
		fmt.Fprintf(&text, ": key %q", e.Key)
	}
	if e.Value != "" {
		fmt.Fprintf(&text, ": value %q", e.Value)
	}
	text.WriteString(": " + e.Message)
	return text.String()
}

// Load reads and validates the settings file. The error joins one *Error per invalid key.
func Load(file string) (Settings, error) {
	data, err := ReadFile(file)
	if err != nil {
		return Settings{}, err
	}
	parsed, err := Parse(file, data)
	for i, key := range parsed.TrustedKeys {
		if !filepath.IsAbs(key) {
			parsed.TrustedKeys[i] = filepath.Join(filepath.Dir(file), key)
		}
	}
	return parsed, err
}

// ReadFile returns the content of a settings file. The error is an *Error.
func ReadFile(file string) ([]byte, error) {
	opened, err := os.Open(file)
	if err != nil {
		return nil, &Error{File: file, Message: "cannot be read: " + err.Error()}
	}
	defer opened.Close()
	data, err := io.ReadAll(io.LimitReader(opened, maxFileSize+1))
	if err != nil {
		return nil, &Error{File: file, Message: "cannot be read: " + err.Error()}
	}
	if len(data) > maxFileSize {
		return nil, &Error{File: file, Message: fmt.Sprintf("must not be larger than %d bytes", maxFileSize)}
	}
	return data, nil
}

// Decode decodes TOML strictly into the struct that into points to, and validates it by its validate tags.
// The error joins one *Error per invalid key; file is the file name in errors.
func Decode(file string, data []byte, into any) error {
	if err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(into); err != nil {
		return decodeError(file, err)
	}
	return fieldErrors(file, validate.Struct(into))
}

// Parse decodes and validates settings; file is the file name in errors.
func Parse(file string, data []byte) (Settings, error) {
	parsed := Default()
	if err := Decode(file, data, &parsed); err != nil {
		return Settings{}, err
	}
	if err := Check(file, parsed); err != nil {
		return Settings{}, err
	}
	return parsed, nil
}

// Check validates settings that were decoded or built in code; file is the file name in errors.
func Check(file string, s Settings) error {
	err := validate.Struct(s)
	if err == nil && len(s.Store.Endpoints) == 0 && len(s.Seeds) == 0 {
		return &Error{File: file, Key: "store.endpoints", Message: "is required unless seeds lists the peer address of another node"}
	}
	return fieldErrors(file, err)
}

// fieldErrors converts an error of the validator into one *Error per invalid field.
func fieldErrors(file string, err error) error {
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return err
	}
	errs := make([]error, 0, len(fields))
	for _, field := range fields {
		_, key, _ := strings.Cut(field.Namespace(), ".")
		errs = append(errs, &Error{
			File: file, Key: key, Value: valueText(field.Value()), Message: constraintText(field.Tag(), field.Param()),
		})
	}
	return errors.Join(errs...)
}

// decodeError converts an error of the TOML decoder into one *Error per error in the file.
func decodeError(file string, err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		errs := make([]error, 0, len(unknown.Errors))
		for i := range unknown.Errors {
			line, _ := unknown.Errors[i].Position()
			errs = append(errs, &Error{
				File: file, Line: line, Key: strings.Join(unknown.Errors[i].Key(), "."),
				Message: "unknown key; `magnoliawharf settings check --help` lists the known keys",
			})
		}
		return errors.Join(errs...)
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ := decode.Position()
		return &Error{
			File: file, Line: line, Key: strings.Join(decode.Key(), "."),
			Message: strings.TrimPrefix(decode.Error(), "toml: "),
		}
	}
	return &Error{File: file, Message: strings.TrimPrefix(err.Error(), "toml: ")}
}
