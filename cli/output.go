package cli

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

const (
	outputText = "text"
	outputJSON = "json"
)

// addOutput adds the flag --output and returns the chosen format.
func addOutput(cmd *cobra.Command) *string {
	format := outputText
	cmd.Flags().StringVarP(&format, "output", "o", outputText, "output format: text or json")
	_ = cmd.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{outputText, outputJSON}, cobra.ShellCompDirectiveNoFileComp))
	return &format
}

// printResult writes text, or value as one line of JSON, depending on format.
func printResult(w io.Writer, format, text string, value any) error {
	switch format {
	case outputText:
		_, err := io.WriteString(w, text)
		return err
	case outputJSON:
		return json.NewEncoder(w).Encode(value)
	default:
		return usageError(fmt.Errorf("--output %q is unknown; use text or json", format))
	}
}
