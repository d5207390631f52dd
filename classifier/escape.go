package classifier

import (
	"strconv"
	"strings"
)

// decodeEscape writes the character that the escape sequence at the start of s
// stands for and returns the length of the sequence. s starts with a backslash
// and holds at least one byte more.
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
		return decodeNumber(b, s, 2, 2, 16)
	case 'u':
		return decodeNumber(b, s, 2, 4, 16)
	case 'U':
		return decodeNumber(b, s, 2, 8, 16)
	case '0', '1', '2', '3', '4', '5', '6', '7':
		return decodeNumber(b, s, 1, 3, 8)
	default:
		b.WriteByte(c)
	}
	return 2
}

// decodeNumber writes the character of the number of up to digits digits that
// starts at s[start]. Without a digit, the letter stands for itself.
func decodeNumber(b *strings.Builder, s string, start, digits, base int) int {
	end := start
	for end < len(s) && end < start+digits && isBaseDigit(s[end], base) {
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

func isBaseDigit(c byte, base int) bool {
	if base == 8 {
		return c >= '0' && c <= '7'
	}
	lower := c | 0x20
	return isDigit(c) || (lower >= 'a' && lower <= 'f')
}
