package bundle

import (
	"fmt"
	"strings"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("bundle")

// Error types for the source of a bundle and for contracts. LocationOf returns their position in the source.
var (
	ErrSyntax           = namespace.NewType("syntax")            // a source that is not valid TOML
	ErrUnknownKey       = namespace.NewType("unknown_key")       // a key that no contract has
	ErrWrongType        = namespace.NewType("wrong_type")        // a value of the wrong type
	ErrDuplicateService = namespace.NewType("duplicate_service") // a service with two tables
	ErrDuplicateName    = namespace.NewType("duplicate_name")    // a class, route or host named twice
	ErrUndefinedClass   = namespace.NewType("undefined_class")   // a route whose class does not exist
	ErrContradiction    = namespace.NewType("contradiction")     // settings that exclude each other
	ErrOutOfRange       = namespace.NewType("out_of_range")      // a value outside its limits
	ErrMissing          = namespace.NewType("missing")           // a required key or table that is absent
)

// Error types for keys.
var (
	ErrNoKey      = namespace.NewType("no_key")      // no key at the path, or no trusted key given
	ErrKeyFile    = namespace.NewType("key_file")    // a key file that is malformed, or readable by other users
	ErrKeyExpired = namespace.NewType("key_expired") // a key past its expiry
)

// Error types for releases, manifests and parts.
var (
	ErrMalformed    = namespace.NewType("malformed")     // cannot be decoded
	ErrTooLarge     = namespace.NewType("too_large")     // exceeds a size limit
	ErrUnsigned     = namespace.NewType("unsigned")      // no signature
	ErrUntrustedKey = namespace.NewType("untrusted_key") // signed by a key that is not trusted
	ErrBadSignature = namespace.NewType("bad_signature") // the signature does not match
	ErrOlderVersion = namespace.NewType("older")         // a version lower than the current one
	ErrEquivocation = namespace.NewType("equivocation")  // the current version with different contents
	ErrRootMismatch = namespace.NewType("root_mismatch") // contents that do not match the signed root
	ErrMissingPart  = namespace.NewType("missing_part")  // a part that is not available
)

// Error types for a rollout.
var (
	ErrVersionTaken   = namespace.NewType("version_taken")   // another rollout has published this version
	ErrVersionSkipped = namespace.NewType("version_skipped") // the version does not directly follow the published one
	ErrNoRelease      = namespace.NewType("no_release")      // nothing has been rolled out yet
)

var (
	propertyLocation = errorx.RegisterProperty("place")
	propertyVersion  = errorx.RegisterPrintableProperty("version")
)

// Is reports whether err is of the type.
func Is(err error, kind *errorx.Type) bool { return errorx.IsOfType(err, kind) }

// Location is the position of an error in a source.
type Location struct {
	File  string
	Line  int    // 0 when unknown
	Table string // such as "service.catalogue.route[1]"
	Key   string
}

// String returns "file:line: table: key" without the elements that are unknown.
func (p Location) String() string {
	var parts []string
	switch {
	case p.File != "" && p.Line > 0:
		parts = append(parts, fmt.Sprintf("%s:%d", p.File, p.Line))
	case p.File != "":
		parts = append(parts, p.File)
	}
	for _, part := range []string{p.Table, p.Key} {
		if part != "" {
			parts = append(parts, part)
		}
	}
	return strings.Join(parts, ": ")
}

// LocationOf returns the position in the source of an error returned by Parse or Validate.
func LocationOf(err error) (Location, bool) {
	value, ok := errorx.ExtractProperty(err, propertyLocation)
	if !ok {
		return Location{}, false
	}
	location, ok := value.(Location)
	return location, ok
}

// VersionOf returns the version of the head in the store from an ErrVersionTaken or ErrVersionSkipped.
func VersionOf(err error) (uint64, bool) {
	value, ok := errorx.ExtractProperty(err, propertyVersion)
	if !ok {
		return 0, false
	}
	version, ok := value.(uint64)
	return version, ok
}

// problem is an error in a contract whose file and line may not be known yet.
type problem struct {
	kind     *errorx.Type
	location Location
	detail   string
}

func (p *problem) err() error {
	if p == nil {
		return nil
	}
	return p.kind.New("%s: %s", p.location, p.detail).WithProperty(propertyLocation, p.location)
}
