package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"unicode"
)

// indent writes a document for people. Angle brackets stay readable.
func indent(v any) string {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return fmt.Sprint(v)
	}
	return strings.TrimRight(b.String(), "\n")
}

// oneLine keeps text from other programs from changing the terminal.
func oneLine(s string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) {
			return ' '
		}
		return r
	}, s)
}
