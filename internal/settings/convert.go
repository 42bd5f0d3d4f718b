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

// Lengths of the secret in bytes. 16 bytes are as long as the shortest key that
// HMAC-SHA256 is used with.
const (
	minSecret = 16
	maxSecret = 1024
)

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	numberPattern = regexp.MustCompile(`^[+-]?[0-9][0-9_]*(\.[0-9]*)?$`)
	sizePattern   = regexp.MustCompile(`^([0-9]+)(B|KiB|MiB|GiB)$`)
)

var sizeUnits = map[string]int64{"B": 1, "KiB": kib, "MiB": mib, "GiB": gib}

// refusal says why a value is refused.
type refusal struct {
	code   codes.Code
	detail string
}

func refuse(code codes.Code, format string, args ...any) *refusal {
	return &refusal{code: code, detail: fmt.Sprintf(format, args...)}
}

// store checks v against k and writes it to its field of n.
func (k key) store(n *Node, v value) *refusal {
	switch k.kind {
	case kindDuration:
		return k.storeDuration(n, v)
	case kindSize:
		return k.storeSize(n, v)
	case kindCount:
		return k.storeCount(n, v)
	case kindRatio:
		return k.storeRatio(n, v)
	}
	if !v.isScalarText() {
		return k.refuseType(v)
	}
	if bad := k.checkText(v.text); bad != nil {
		return bad
	}
	*k.field(n).(*string) = v.text
	return nil
}

func (k key) refuseType(v value) *refusal {
	if v.form == formUnsupported {
		return refuse(codes.SettingsUnsupported, "the value is an anchor, an alias or a tag")
	}
	if k.kind == kindSecret {
		return refuse(codes.SettingsWrongType, "expected a secret in quotes, found %s", v.form)
	}
	hint := ""
	if v.form == formInteger || v.form == formFloat || v.form == formBool {
		hint = "; put it in quotes if it is meant as text"
	}
	return refuse(codes.SettingsWrongType, "expected %s, found %s%s", k.kind.withArticle(), v.describe(), hint)
}

func (k key) checkText(text string) *refusal {
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
			return refuse(codes.SettingsBadSecret, "the file name is empty or holds a zero byte")
		}
	}
	return nil
}

func checkName(text string) *refusal {
	if !namePattern.MatchString(text) {
		return refuse(codes.SettingsBadName, "%q is not a name", text)
	}
	return nil
}

func checkAddress(text string) *refusal {
	colon := strings.LastIndexByte(text, ':')
	if colon < 0 {
		return refuse(codes.SettingsBadAddress, "%q has no port", text)
	}
	host, port := text[:colon], text[colon+1:]
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil || number == 0 || port != strconv.FormatUint(number, 10) {
		return refuse(codes.SettingsBadAddress, "%q has no port from 1 to 65535", text)
	}
	if host == "" {
		return refuse(codes.SettingsBadAddress, "%q has no IP address", text)
	}
	return checkHost(text, host)
}

// checkHost refuses wildcard addresses too: nodes tell their addresses to each
// other, and a wildcard address reaches nobody.
func checkHost(text, host string) *refusal {
	bracketed := strings.HasPrefix(host, "[") && strings.HasSuffix(host, "]")
	addr, err := netip.ParseAddr(strings.TrimSuffix(strings.TrimPrefix(host, "["), "]"))
	switch {
	case err != nil && strings.ContainsAny(host, "[]:/ "):
		return refuse(codes.SettingsBadAddress, "%q is not an IP address and a port", text)
	case err != nil:
		return refuse(codes.SettingsAddressNotIP, "%q is not an IP number", host)
	case addr.Is6() != bracketed:
		return refuse(codes.SettingsBadAddress, "%q must have an IPv6 address, and no other, in brackets", text)
	case addr.IsUnspecified() || addr.IsMulticast():
		return refuse(codes.SettingsAddressNotIP, "%q does not name one instance", host)
	}
	return nil
}

func checkURL(text string) *refusal {
	parsed, err := url.Parse(text)
	switch {
	case err != nil:
		return refuse(codes.SettingsBadURL, "%q cannot be read as a URL", text)
	case parsed.Scheme != "http" && parsed.Scheme != "https":
		return refuse(codes.SettingsBadURL, "%q does not start with http:// or https://", text)
	case parsed.Hostname() == "":
		return refuse(codes.SettingsBadURL, "%q has no host", text)
	case parsed.User != nil || parsed.RawQuery != "" || parsed.Fragment != "":
		return refuse(codes.SettingsBadURL, "the URL has a user, a query or a fragment")
	}
	return nil
}

func checkSecret(text string) *refusal {
	if len(text) < minSecret || len(text) > maxSecret {
		return refuse(codes.SettingsBadSecret, "the secret has %d bytes", len(text))
	}
	return nil
}

func (k key) checkChoice(text string) *refusal {
	if !slices.Contains(k.choices, text) {
		return refuse(codes.SettingsBadChoice, "%q is none of %s", text, strings.Join(k.choices, ", "))
	}
	return nil
}

func (k key) storeDuration(n *Node, v value) *refusal {
	switch {
	case v.form == formInteger || v.form == formFloat || v.isScalarText() && numberPattern.MatchString(v.text):
		return refuse(codes.SettingsDurationUnit, "%s has no unit", v.describe())
	case !v.isScalarText():
		return k.refuseType(v)
	}
	duration, err := time.ParseDuration(v.text)
	if err != nil {
		return refuse(codes.SettingsBadDuration, "%q is not a duration", v.text)
	}
	if bad := k.checkRange(float64(duration), v.text); bad != nil {
		return bad
	}
	*k.field(n).(*time.Duration) = duration
	return nil
}

func (k key) storeSize(n *Node, v value) *refusal {
	switch {
	case v.form == formInteger || v.form == formFloat || v.isScalarText() && numberPattern.MatchString(v.text):
		return refuse(codes.SettingsSizeUnit, "%s has no unit", v.describe())
	case !v.isScalarText():
		return k.refuseType(v)
	}
	parts := sizePattern.FindStringSubmatch(v.text)
	if parts == nil {
		return refuse(codes.SettingsBadSize, "%q is not a size", v.text)
	}
	count, err := strconv.ParseInt(parts[1], 10, 64)
	unit := sizeUnits[parts[2]]
	if err != nil || count > math.MaxInt64/unit {
		return k.refuseRange(v.text)
	}
	if bad := k.checkRange(float64(count*unit), v.text); bad != nil {
		return bad
	}
	k.setInteger(n, count*unit)
	return nil
}

func (k key) storeCount(n *Node, v value) *refusal {
	if v.form != formInteger && v.form != formFlag {
		return k.refuseType(v)
	}
	count, err := strconv.ParseInt(v.text, 10, 64)
	if err != nil && v.form == formFlag {
		return refuse(codes.SettingsWrongType, "expected %s, found %q", k.kind.withArticle(), v.text)
	}
	if err != nil {
		return k.refuseRange(v.text)
	}
	if bad := k.checkRange(float64(count), v.text); bad != nil {
		return bad
	}
	k.setInteger(n, count)
	return nil
}

func (k key) storeRatio(n *Node, v value) *refusal {
	if v.form != formInteger && v.form != formFloat && v.form != formFlag {
		return k.refuseType(v)
	}
	ratio, err := strconv.ParseFloat(v.text, 64)
	if err != nil || math.IsNaN(ratio) {
		return refuse(codes.SettingsWrongType, "expected %s, found %q", k.kind.withArticle(), v.text)
	}
	if bad := k.checkRange(ratio, v.text); bad != nil {
		return bad
	}
	*k.field(n).(*float64) = ratio
	return nil
}

func (k key) setInteger(n *Node, number int64) {
	switch field := k.field(n).(type) {
	case *int64:
		*field = number
	case *int:
		*field = int(number)
	}
}

func (k key) checkRange(number float64, text string) *refusal {
	if number < k.min || number > k.max {
		return k.refuseRange(text)
	}
	return nil
}

func (k key) refuseRange(text string) *refusal {
	return refuse(codes.SettingsOutOfRange, "%s is not between %s and %s", text, k.format(k.min), k.format(k.max))
}
