package settings

import (
	"fmt"
	"reflect"
	"strings"
)

// Reference lists the known keys with their type and whether they are required, one per line.
func Reference() string { return ReferenceOf(reflect.TypeFor[Settings]()) }

// ReferenceOf lists the keys of a settings struct in the form of Reference.
func ReferenceOf(settings reflect.Type) string {
	var text strings.Builder
	writeKeys(&text, "", settings)
	return text.String()
}

// writeKeys writes one line per key of the struct; prefix is the dotted key of the struct itself.
func writeKeys(text *strings.Builder, prefix string, settings reflect.Type) {
	for field := range settings.Fields() {
		key := prefix + field.Tag.Get("toml")
		if field.Type.Kind() == reflect.Struct {
			writeKeys(text, key+".", field.Type)
			continue
		}
		presence := "optional"
		if strings.HasPrefix(field.Tag.Get("validate"), "required") {
			presence = "required"
		}
		fmt.Fprintf(text, "  %-26s %-10s %s\n", key, typeName(field.Type), presence)
	}
}

// typeName returns the name of a value's type in the reference.
func typeName(value reflect.Type) string {
	switch value {
	case reflect.TypeFor[Duration]():
		return "duration"
	case reflect.TypeFor[Size]():
		return "size"
	}
	if value.Kind() == reflect.Slice {
		return "strings"
	}
	return value.Kind().String()
}
