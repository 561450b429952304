package settings

import (
	"fmt"
	"reflect"
	"strings"
)

// Reference lists the known keys with their type and whether they are required, one a line.
func Reference() string { return ReferenceOf(reflect.TypeFor[Settings]()) }

// ReferenceOf lists the keys of the settings in a struct type, as Reference does.
func ReferenceOf(of reflect.Type) string {
	var text strings.Builder
	describe(&text, "", of)
	return text.String()
}

func describe(text *strings.Builder, prefix string, of reflect.Type) {
	for field := range of.Fields() {
		key := prefix + field.Tag.Get("toml")
		if field.Type.Kind() == reflect.Struct {
			describe(text, key+".", field.Type)
			continue
		}
		need := "optional"
		if strings.HasPrefix(field.Tag.Get("validate"), "required") {
			need = "required"
		}
		fmt.Fprintf(text, "  %-26s %-10s %s\n", key, kindText(field.Type), need)
	}
}

func kindText(of reflect.Type) string {
	switch of {
	case reflect.TypeFor[Duration]():
		return "duration"
	case reflect.TypeFor[Size]():
		return "size"
	}
	if of.Kind() == reflect.Slice {
		return "strings"
	}
	return of.Kind().String()
}
