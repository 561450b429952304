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

// Error is a fault in a settings file.
type Error struct {
	File    string
	Line    int    // 0 when unknown
	Key     string // dotted key, "" when the file as a whole is at fault
	Value   string // the value found, "" when there is none
	Allowed string // what is allowed instead
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
	text.WriteString(": " + e.Allowed)
	return text.String()
}

// Load reads and checks the settings file. The error joins one *Error per fault.
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

// ReadFile returns the bytes of a settings file. The error is a *Error.
func ReadFile(file string) ([]byte, error) {
	opened, err := os.Open(file)
	if err != nil {
		return nil, &Error{File: file, Allowed: "cannot be read: " + err.Error()}
	}
	defer opened.Close()
	data, err := io.ReadAll(io.LimitReader(opened, maxFileSize+1))
	if err != nil {
		return nil, &Error{File: file, Allowed: "cannot be read: " + err.Error()}
	}
	if len(data) > maxFileSize {
		return nil, &Error{File: file, Allowed: fmt.Sprintf("a settings file has at most %d bytes", maxFileSize)}
	}
	return data, nil
}

// Decode reads settings of any kind strictly into the struct that into points to, and checks it by its validate tags.
// The error joins one *Error per fault; file names their origin.
func Decode(file string, data []byte, into any) error {
	if err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(into); err != nil {
		return decodeError(file, err)
	}
	return faults(file, checker.Struct(into))
}

// Parse reads and checks settings; file names their origin in errors.
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

// Check checks settings that were built or read; file names their origin in errors.
func Check(file string, s Settings) error {
	err := checker.Struct(s)
	if err == nil && len(s.Store.Endpoints) == 0 && len(s.Seeds) == 0 {
		return &Error{File: file, Key: "store.endpoints", Allowed: "is required unless seeds lists the peer address of another node"}
	}
	return faults(file, err)
}

// faults turns the error of the checker into one *Error per fault.
func faults(file string, err error) error {
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return err
	}
	faults := make([]error, 0, len(fields))
	for _, field := range fields {
		_, key, _ := strings.Cut(field.Namespace(), ".")
		faults = append(faults, &Error{
			File: file, Key: key, Value: valueText(field.Value()), Allowed: allowedText(field.Tag(), field.Param()),
		})
	}
	return errors.Join(faults...)
}

func decodeError(file string, err error) error {
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) {
		faults := make([]error, 0, len(missing.Errors))
		for i := range missing.Errors {
			line, _ := missing.Errors[i].Position()
			faults = append(faults, &Error{
				File: file, Line: line, Key: strings.Join(missing.Errors[i].Key(), "."),
				Allowed: "unknown key; `magnoliawharf settings check --help` lists the known ones",
			})
		}
		return errors.Join(faults...)
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ := decode.Position()
		return &Error{
			File: file, Line: line, Key: strings.Join(decode.Key(), "."),
			Allowed: strings.TrimPrefix(decode.Error(), "toml: "),
		}
	}
	return &Error{File: file, Allowed: strings.TrimPrefix(err.Error(), "toml: ")}
}
