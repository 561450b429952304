package settings

import (
	"encoding"
	"fmt"
	"net"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"
)

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	validate    = newValidator()
)

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(field reflect.StructField) string { return field.Tag.Get("toml") })
	checks := map[string]func(string) bool{
		"name":     namePattern.MatchString,
		"hostport": func(text string) bool { return validAddress(text, false) },
		"listen":   func(text string) bool { return validAddress(text, true) },
		"loopback": isLoopback,
	}
	for tag, check := range checks {
		err := v.RegisterValidation(tag, func(field validator.FieldLevel) bool { return check(field.Field().String()) })
		if err != nil {
			panic(err) // cannot happen: the tags above are valid names
		}
	}
	return v
}

// constraintTexts describes the constraints of the validation tags without a parameter.
var constraintTexts = map[string]string{
	"required": "is required",
	"name":     "must be 1 to 64 letters, digits, '.', '_' or '-', and begin with a letter or digit",
	"hostport": "must be host:port with a port from 1 to 65535",
	"listen":   "must be host:port with a port from 0 to 65535; 0 takes a free port",
	"loopback": "must be a loopback address such as 127.0.0.1:8082",
	"http_url": "must be a URL such as http://127.0.0.1:2379",
}

// constraintText describes the constraint of a validation tag in an error message.
func constraintText(tag, param string) string {
	if text, ok := constraintTexts[tag]; ok {
		return text
	}
	switch tag {
	case "oneof":
		return "must be one of " + strings.Join(strings.Fields(param), ", ")
	case "min":
		return "must be at least " + param + " (bytes, nanoseconds or entries)"
	case "max":
		return "must be at most " + param + " (bytes, nanoseconds or entries)"
	default:
		return "does not satisfy the constraint " + tag
	}
}

// valueText returns the value as it is written in a settings file, as far as its type has a text form.
func valueText(value any) string {
	if text, ok := value.(encoding.TextMarshaler); ok {
		if raw, err := text.MarshalText(); err == nil {
			return string(raw)
		}
	}
	return fmt.Sprint(value)
}

// validAddress reports whether text is host:port. zeroPort permits port 0 and an empty host, as a listen address may have.
func validAddress(text string, zeroPort bool) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || (host == "" && !zeroPort) {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && (number > 0 || zeroPort)
}

func isLoopback(text string) bool {
	host, _, err := net.SplitHostPort(text)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return host == "localhost" || (ip != nil && ip.IsLoopback())
}
