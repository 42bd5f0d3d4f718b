package settings

import (
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tarragonford/tarragonford/internal/codes"
)

// Bounds on the length of the secret in bytes. 16 bytes is the length of the
// shortest key that HMAC-SHA256 is used with.
const (
	minSecretBytes = 16
	maxSecretBytes = 1024
)

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	numberPattern = regexp.MustCompile(`^[+-]?[0-9][0-9_]*(\.[0-9]*)?$`)
	sizePattern   = regexp.MustCompile(`^([0-9]+)(B|KiB|MiB|GiB)$`)
)

var sizeUnits = map[string]int64{"B": 1, "KiB": kib, "MiB": mib, "GiB": gib}

// valueProblem describes why a value is invalid.
type valueProblem struct {
	code   codes.Code
	detail string
}

func problemf(code codes.Code, format string, args ...any) *valueProblem {
	return &valueProblem{code: code, detail: fmt.Sprintf(format, args...)}
}

// set validates v against k and assigns it to the field of n.
func (k keySpec) set(n *Node, v value) *valueProblem {
	switch k.kind {
	case kindDuration:
		return k.setDuration(n, v)
	case kindSize:
		return k.setSize(n, v)
	case kindCount:
		return k.setCount(n, v)
	case kindRatio:
		return k.setRatio(n, v)
	}
	if !v.isScalarText() {
		return k.wrongType(v)
	}
	if problem := k.checkText(v.text); problem != nil {
		return problem
	}
	*k.field(n).(*string) = v.text
	return nil
}

func (k keySpec) wrongType(v value) *valueProblem {
	if v.typ == typeUnsupported {
		return problemf(codes.SettingsUnsupported, "the value is an anchor, an alias or a tag")
	}
	if k.kind == kindSecret {
		return problemf(codes.SettingsWrongType, "expected a quoted secret, found %s", v.typ)
	}
	hint := ""
	if v.typ == typeInteger || v.typ == typeFloat || v.typ == typeBool {
		hint = "; put it in quotes if it is meant as text"
	}
	return problemf(codes.SettingsWrongType, "expected %s, found %s%s", k.kind.withArticle(), v.describe(), hint)
}

func (k keySpec) checkText(text string) *valueProblem {
	switch k.kind {
	case kindName:
		return checkName(text)
	case kindAddress:
		return checkAddress(text)
	case kindURL:
		return checkURL(text)
	case kindSecret:
		return checkSecret(text)
	case kindChoice:
		return k.checkChoice(text)
	case kindPath:
		if text == "" || strings.ContainsRune(text, 0) {
			return problemf(codes.SettingsBadSecret, "the file name is empty or contains a NUL byte")
		}
	}
	return nil
}

func checkName(text string) *valueProblem {
	if !namePattern.MatchString(text) {
		return problemf(codes.SettingsBadName, "%q is not a valid name", text)
	}
	return nil
}

func checkAddress(text string) *valueProblem {
	colon := strings.LastIndexByte(text, ':')
	if colon < 0 {
		return problemf(codes.SettingsBadAddress, "%q has no port", text)
	}
	host, port := text[:colon], text[colon+1:]
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil || number == 0 || port != strconv.FormatUint(number, 10) {
		return problemf(codes.SettingsBadAddress, "%q has no port from 1 to 65535", text)
	}
	if host == "" {
		return problemf(codes.SettingsBadAddress, "%q has no IP address", text)
	}
	return checkHost(text, host)
}

// checkHost also rejects wildcard addresses: nodes advertise these addresses to
// each other, and a wildcard address is not reachable from another machine.
func checkHost(text, host string) *valueProblem {
	bracketed := strings.HasPrefix(host, "[") && strings.HasSuffix(host, "]")
	addr, err := netip.ParseAddr(strings.TrimSuffix(strings.TrimPrefix(host, "["), "]"))
	switch {
	case err != nil && strings.ContainsAny(host, "[]:/ "):
		return problemf(codes.SettingsBadAddress, "%q is not an IP address followed by a port", text)
	case err != nil:
		return problemf(codes.SettingsAddressNotIP, "%q is not an IP address", host)
	case addr.Is6() != bracketed:
		return problemf(codes.SettingsBadAddress, "%q: IPv6 addresses, and only those, must be in brackets", text)
	case addr.IsUnspecified() || addr.IsMulticast():
		return problemf(codes.SettingsAddressNotIP, "%q is a wildcard or multicast address", host)
	}
	return nil
}

func checkURL(text string) *valueProblem {
	parsed, err := url.Parse(text)
	switch {
	case err != nil:
		return problemf(codes.SettingsBadURL, "%q is not a valid URL", text)
	case parsed.Scheme != "http" && parsed.Scheme != "https":
		return problemf(codes.SettingsBadURL, "%q does not start with http:// or https://", text)
	case parsed.Hostname() == "":
		return problemf(codes.SettingsBadURL, "%q has no host", text)
	case parsed.User != nil || parsed.RawQuery != "" || parsed.Fragment != "":
		return problemf(codes.SettingsBadURL, "the URL has user information, a query or a fragment")
	}
	return nil
}

func checkSecret(text string) *valueProblem {
	if len(text) < minSecretBytes || len(text) > maxSecretBytes {
		return problemf(codes.SettingsBadSecret, "the secret has %d bytes", len(text))
	}
	return nil
}

func (k keySpec) checkChoice(text string) *valueProblem {
	if !slices.Contains(k.choices, text) {
		return problemf(codes.SettingsBadChoice, "%q is not one of %s", text, strings.Join(k.choices, ", "))
	}
	return nil
}

func (k keySpec) setDuration(n *Node, v value) *valueProblem {
	switch {
	case v.typ == typeInteger || v.typ == typeFloat || v.isScalarText() && numberPattern.MatchString(v.text):
		return problemf(codes.SettingsDurationUnit, "%s has no unit", v.describe())
	case !v.isScalarText():
		return k.wrongType(v)
	}
	duration, err := time.ParseDuration(v.text)
	if err != nil {
		return problemf(codes.SettingsBadDuration, "%q is not a valid duration", v.text)
	}
	if problem := k.checkRange(float64(duration), v.text); problem != nil {
		return problem
	}
	*k.field(n).(*time.Duration) = duration
	return nil
}

func (k keySpec) setSize(n *Node, v value) *valueProblem {
	switch {
	case v.typ == typeInteger || v.typ == typeFloat || v.isScalarText() && numberPattern.MatchString(v.text):
		return problemf(codes.SettingsSizeUnit, "%s has no unit", v.describe())
	case !v.isScalarText():
		return k.wrongType(v)
	}
	parts := sizePattern.FindStringSubmatch(v.text)
	if parts == nil {
		return problemf(codes.SettingsBadSize, "%q is not a valid size", v.text)
	}
	count, err := strconv.ParseInt(parts[1], 10, 64)
	unit := sizeUnits[parts[2]]
	if err != nil || count > math.MaxInt64/unit {
		return k.outOfRange(v.text)
	}
	if problem := k.checkRange(float64(count*unit), v.text); problem != nil {
		return problem
	}
	k.setInteger(n, count*unit)
	return nil
}

func (k keySpec) setCount(n *Node, v value) *valueProblem {
	if v.typ != typeInteger && v.typ != typeFlag {
		return k.wrongType(v)
	}
	count, err := strconv.ParseInt(v.text, 10, 64)
	if err != nil && v.typ == typeFlag {
		return problemf(codes.SettingsWrongType, "expected %s, found %q", k.kind.withArticle(), v.text)
	}
	if err != nil {
		return k.outOfRange(v.text)
	}
	if problem := k.checkRange(float64(count), v.text); problem != nil {
		return problem
	}
	k.setInteger(n, count)
	return nil
}

func (k keySpec) setRatio(n *Node, v value) *valueProblem {
	if v.typ != typeInteger && v.typ != typeFloat && v.typ != typeFlag {
		return k.wrongType(v)
	}
	ratio, err := strconv.ParseFloat(v.text, 64)
	if err != nil || math.IsNaN(ratio) {
		return problemf(codes.SettingsWrongType, "expected %s, found %q", k.kind.withArticle(), v.text)
	}
	if problem := k.checkRange(ratio, v.text); problem != nil {
		return problem
	}
	*k.field(n).(*float64) = ratio
	return nil
}

func (k keySpec) setInteger(n *Node, number int64) {
	switch field := k.field(n).(type) {
	case *int64:
		*field = number
	case *int:
		*field = int(number)
	}
}

func (k keySpec) checkRange(number float64, text string) *valueProblem {
	if number < k.min || number > k.max {
		return k.outOfRange(text)
	}
	return nil
}

func (k keySpec) outOfRange(text string) *valueProblem {
	return problemf(codes.SettingsOutOfRange, "%s is not between %s and %s", text, k.format(k.min), k.format(k.max))
}
