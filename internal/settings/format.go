package settings

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// format formats a bound or a default of k in the syntax of the settings file.
func (k keySpec) format(number float64) string {
	switch k.kind {
	case kindDuration:
		return FormatDuration(time.Duration(number))
	case kindSize:
		return FormatSize(int64(number))
	}
	return strconv.FormatFloat(number, 'f', -1, 64)
}

// withArticle returns the name of the kind with its indefinite article.
func (k kind) withArticle() string {
	if k == kindAddress {
		return "an " + string(k)
	}
	return "a " + string(k)
}

// FormatDuration formats d without trailing zero units, as in "10m" or "500ms".
func FormatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// FormatSize formats a number of bytes with the largest binary unit that divides
// it, as in "256KiB".
func FormatSize(bytes int64) string {
	for _, unit := range []string{"GiB", "MiB", "KiB"} {
		if bytes >= sizeUnits[unit] && bytes%sizeUnits[unit] == 0 {
			return fmt.Sprintf("%d%s", bytes/sizeUnits[unit], unit)
		}
	}
	return fmt.Sprintf("%dB", bytes)
}

// defaultText returns the default of k in the syntax of the settings file, or
// an empty string if there is none.
func (k keySpec) defaultText() string {
	defaults := Defaults()
	switch field := k.field(&defaults).(type) {
	case *string:
		return *field
	case *time.Duration:
		return FormatDuration(*field)
	case *int64:
		return k.format(float64(*field))
	case *int:
		return k.format(float64(*field))
	case *float64:
		return k.format(*field)
	}
	return ""
}
