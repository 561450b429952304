package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"
)

// Exit codes of the process.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitSettings = 3
)

// exitError is an error that determines the exit code of the process.
type exitError struct {
	error
	code int
}

// Unwrap returns the error without its code.
func (e *exitError) Unwrap() error { return e.error }

func usageError(err error) error { return &exitError{err, ExitUsage} }

func exitCode(err error) int {
	var withCode *exitError
	switch {
	case errors.As(err, &withCode):
		return withCode.code
	case strings.HasPrefix(err.Error(), "unknown command"), strings.HasPrefix(err.Error(), "required flag"):
		return ExitUsage
	default:
		return ExitFailed
	}
}

// jsonError is an error that is printed as JSON.
type jsonError struct{ error }

// Unwrap returns the error itself.
func (e *jsonError) Unwrap() error { return e.error }

// printError writes the error as one line, in the form that it asks for.
func printError(stderr io.Writer, err error) {
	var asJSON *jsonError
	if !errors.As(err, &asJSON) {
		fmt.Fprintln(stderr, "magnoliawharf:", oneLine(err))
		return
	}
	_ = json.NewEncoder(stderr).Encode(struct {
		Error string `json:"error"`
		Code  int    `json:"code"`
	}{oneLine(err), exitCode(err)})
}

// oneLine returns the message of err on one line, so that each line on standard error is one error.
func oneLine(err error) string {
	return strings.Join(strings.FieldsFunc(err.Error(), func(r rune) bool { return r == '\n' }), "; ")
}

// exactArgs reports any other number of arguments as wrong usage.
func exactArgs(count int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if len(args) == count {
			return nil
		}
		return usageError(fmt.Errorf("%s takes %d arguments, not %d; see `%s --help`",
			cmd.CommandPath(), count, len(args), cmd.CommandPath()))
	}
}
