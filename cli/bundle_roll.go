package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"github.com/magnoliawharf/magnoliawharf/bundle"
)

func newBundleRoll() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "roll FILE",
		Short: "Roll out an approved bundle",
		Long: `Roll out an approved bundle to all nodes by compare-and-swap in the store. When two operators roll out the same
version at the same time, one succeeds; the other gets exit code 6 and the version in force. A roll that was
interrupted may be run again: it succeeds when its version is already in force.`,
		Example: "  magnoliawharf bundle roll next.bundle --store http://127.0.0.1:2379 --trust operator.key.pub",
		Args:    exactArgs(1),
	}
	format := addOutput(cmd)
	var flags storeFlags
	flags.add(cmd)
	trusted := cmd.Flags().StringSlice("trust", nil, "public key files that nodes trust; bundles signed by other keys are refused before the roll")
	_ = cmd.MarkFlagRequired("store")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		approved, err := readBundle(args[0])
		if err != nil {
			return err
		}
		client, ctx, cancel, err := flags.open(cmd.Context())
		if err != nil {
			return err
		}
		defer cancel()
		publisher := &bundle.Publisher{Store: client}
		if len(*trusted) > 0 {
			if publisher.TrustedKeys, err = bundle.ReadTrustedKeys(*trusted); err != nil {
				return bundleError(err)
			}
		}
		release, collectErr, err := publisher.RollOut(ctx, approved)
		if err != nil {
			return bundleError(err)
		}
		result := newBundleReport(release, len(approved.Parts), release.Changes)
		if collectErr != nil {
			result.Warning = "old versions were not removed: " + oneLine(collectErr)
		}
		return printResult(cmd.OutOrStdout(), *format, result.text("rolled out"), result)
	}
	return cmd
}

func newBundleStatus() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "status",
		Short:   "Show the version in force",
		Long:    "Show the version in force according to the store, and its changes since the previous version.",
		Example: "  magnoliawharf bundle status --store http://127.0.0.1:2379 --output json",
		Args:    exactArgs(0),
	}
	format := addOutput(cmd)
	var flags storeFlags
	flags.add(cmd)
	_ = cmd.MarkFlagRequired("store")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		client, ctx, cancel, err := flags.open(cmd.Context())
		if err != nil {
			return err
		}
		defer cancel()
		reader := bundle.StoreReader{Store: client}
		head, _, err := reader.Head(ctx)
		if err != nil {
			return bundleError(err)
		}
		manifest, err := reader.Manifest(ctx, head)
		if err != nil {
			return bundleError(err)
		}
		result := newBundleReport(head, len(manifest), head.Changes)
		return printResult(cmd.OutOrStdout(), *format, result.text("in force:"), result)
	}
	return cmd
}

func newBundleShow() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "show [FILE]",
		Short: "Show the contracts of a bundle",
		Long:  "Show the contracts of a bundle file, or with --store those of the version in force, with all defaults filled in.",
		Example: `  magnoliawharf bundle show next.bundle
  magnoliawharf bundle show --store http://127.0.0.1:2379 --service ledger`,
		Args: func(cmd *cobra.Command, args []string) error {
			if len(args) > 1 {
				return exactArgs(1)(cmd, args)
			}
			return nil
		},
	}
	format := addOutput(cmd)
	var flags storeFlags
	flags.add(cmd)
	service := cmd.Flags().String("service", "", "show only this service")
	_ = cmd.RegisterFlagCompletionFunc("service", cobra.NoFileCompletions)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if (len(args) == 1) == (flags.url != "") {
			return usageError(fmt.Errorf("give either FILE or --store; see `%s --help`", cmd.CommandPath()))
		}
		parts, err := loadParts(cmd, args, flags)
		if err != nil {
			return bundleError(err)
		}
		if part, ok := parts[*service]; ok {
			parts = map[string]json.RawMessage{*service: part}
		} else if *service != "" {
			return &exitError{fmt.Errorf("the bundle has no service %q; run without --service to see all", *service), ExitBundle}
		}
		return printResult(cmd.OutOrStdout(), *format, formatParts(parts), parts)
	}
	return cmd
}

// loadParts returns the parts of the bundle file, or of the current version, by service.
func loadParts(cmd *cobra.Command, args []string, flags storeFlags) (map[string]json.RawMessage, error) {
	parts := make(map[string]json.RawMessage)
	if len(args) == 1 {
		prepared, err := readBundle(args[0])
		if err != nil {
			return nil, err
		}
		for service, part := range prepared.Parts {
			parts[service] = part
		}
		return parts, nil
	}
	client, ctx, cancel, err := flags.open(cmd.Context())
	if err != nil {
		return nil, err
	}
	defer cancel()
	return loadStoredParts(ctx, bundle.StoreReader{Store: client})
}

// loadStoredParts returns the verified parts of the current version, by service.
func loadStoredParts(ctx context.Context, reader bundle.StoreReader) (map[string]json.RawMessage, error) {
	head, _, err := reader.Head(ctx)
	if err != nil {
		return nil, err
	}
	manifest, err := reader.Manifest(ctx, head)
	if err != nil {
		return nil, err
	}
	found, err := reader.Parts(ctx, bundle.MissingParts(nil, manifest, nil))
	if err != nil {
		return nil, err
	}
	applied, err := bundle.Apply(nil, head, manifest, found) // verifies every part
	if err != nil {
		return nil, err
	}
	parts := make(map[string]json.RawMessage, len(manifest))
	for _, member := range applied.Manifest {
		parts[member.Service] = found[member.Part]
	}
	return parts, nil
}

func formatParts(parts map[string]json.RawMessage) string {
	services := make([]string, 0, len(parts))
	for service := range parts {
		services = append(services, service)
	}
	slices.Sort(services)
	var out strings.Builder
	for _, service := range services {
		indented, err := json.MarshalIndent(parts[service], "", "  ")
		if err != nil {
			indented = parts[service]
		}
		fmt.Fprintf(&out, "%s\n", indented)
	}
	return out.String()
}
