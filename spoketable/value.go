package spoketable

import (
	"encoding/json"
	"strconv"
)

// maxValueDepth bounds the nesting of a value. It is far below what encoding/json
// accepts, as a value is nested further in messages that pass it on.
const maxValueDepth = 64

// BoundedValue returns the value of a row that any process may have written, or an empty
// one if it has more than maxBytes, is not JSON, is nested too deeply or has a number that
// is out of range. No reader could decode a message that contains such a value.
func BoundedValue(value []byte, maxBytes int) json.RawMessage {
	if len(value) > maxBytes || !json.Valid(value) || !isInBounds(value) {
		return nil
	}
	return value
}

// isInBounds checks the depth and the numbers of valid JSON.
func isInBounds(text []byte) bool {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch char := text[i]; {
		case char == '"':
			i = endOfString(text, i)
		case char == '[' || char == '{':
			if depth++; depth > maxValueDepth {
				return false
			}
		case char == ']' || char == '}':
			depth--
		case char == '-' || isDigit(char):
			end := endOfNumber(text, i)
			if _, err := strconv.ParseFloat(string(text[i:end]), 64); err != nil {
				return false
			}
			i = end - 1
		}
	}
	return true
}

// endOfString returns the index of the quote that ends the string which begins at start.
func endOfString(text []byte, start int) int {
	for i := start + 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(text)
}

// endOfNumber returns the index behind the number that begins at start.
func endOfNumber(text []byte, start int) int {
	for i := start + 1; i < len(text); i++ {
		if char := text[i]; !isDigit(char) && char != '.' && char != 'e' && char != 'E' && char != '+' && char != '-' {
			return i
		}
	}
	return len(text)
}

func isDigit(char byte) bool { return char >= '0' && char <= '9' }
