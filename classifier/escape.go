package classifier

import (
	"strconv"
	"strings"
)

// decodeEscape writes the character for the escape sequence at the start of s
// and returns the length of the sequence. s must start with a backslash and
// contain at least one more byte.
func decodeEscape(b *strings.Builder, s string) int {
	switch c := s[1]; c {
	case 'b':
		b.WriteByte('\b')
	case 'f':
		b.WriteByte('\f')
	case 'n':
		b.WriteByte('\n')
	case 'r':
		b.WriteByte('\r')
	case 't':
		b.WriteByte('\t')
	case 'x':
		return decodeNumericEscape(b, s, 2, 2, 16)
	case 'u':
		return decodeNumericEscape(b, s, 2, 4, 16)
	case 'U':
		return decodeNumericEscape(b, s, 2, 8, 16)
	case '0', '1', '2', '3', '4', '5', '6', '7':
		return decodeNumericEscape(b, s, 1, 3, 8)
	default:
		b.WriteByte(c)
	}
	return 2
}

// decodeNumericEscape writes the character whose code is given by at most
// digits digits from s[start]. Without a digit, it writes the letter after the
// backslash.
func decodeNumericEscape(b *strings.Builder, s string, start, digits, base int) int {
	end := start
	for end < len(s) && end < start+digits && isDigitInBase(s[end], base) {
		end++
	}
	code, err := strconv.ParseUint(s[start:end], base, 32)
	if err != nil {
		b.WriteByte(s[1])
		return 2
	}
	b.WriteRune(rune(code))
	return end
}

func isDigitInBase(c byte, base int) bool {
	if base == 8 {
		return c >= '0' && c <= '7'
	}
	letter := c | 0x20
	return isDigit(c) || (letter >= 'a' && letter <= 'f')
}
