package tomlconfig

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Duration is a time.Duration that is written with its unit, such as "250ms", "1.5s" or "2m".
type Duration time.Duration

// UnmarshalText parses a number with its unit.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a time with its unit, as 250ms", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText formats the duration like time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Bytes is a number of bytes that is written with its unit, such as "16MiB", "4KiB" or "512B".
type Bytes int64

// maxBytes is the largest size that can be parsed.
const maxBytes = 1 << 62

// byteUnits lists the units of Bytes in descending order. All names end in "B", so "B" itself must be tried last.
var byteUnits = []struct {
	name string
	size int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// UnmarshalText parses a whole number with its unit.
func (b *Bytes) UnmarshalText(text []byte) error {
	for _, unit := range byteUnits {
		digits, ok := strings.CutSuffix(string(text), unit.name)
		if !ok {
			continue
		}
		number, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || number < 0 || number > maxBytes/unit.size {
			break
		}
		*b = Bytes(number * unit.size)
		return nil
	}
	return fmt.Errorf("%q is not a size with its unit, as 16MiB", text)
}

// MarshalText formats the size in the largest unit that divides it.
func (b Bytes) MarshalText() ([]byte, error) {
	for _, unit := range byteUnits {
		if int64(b)%unit.size == 0 && int64(b) >= unit.size {
			return fmt.Appendf(nil, "%d%s", int64(b)/unit.size, unit.name), nil
		}
	}
	return []byte("0B"), nil
}
