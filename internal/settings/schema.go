package settings

import (
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Kind is the type of a setting's value.
type Kind uint8

// Kinds of settings.
const (
	KindName     Kind = iota // letters, digits, '-', '_' and '.'
	KindAddr                 // IP:port
	KindAddrs                // list of IP:port
	KindURL                  // http or https URL with an IP host
	KindDuration             // e.g. "250ms"
	KindSize                 // e.g. "64MB"
	KindInt
	KindBool
	KindPath
	KindEnum
)

// Key describes one setting.
type Key struct {
	Name     string
	Kind     Kind
	Default  string // as written in a file, without quotes; empty means no default
	Required bool
	Min, Max int64    // of KindDuration in nanoseconds, of KindSize in bytes, of KindInt
	Choices  []string // allowed values of KindEnum
	Help     string
}

// Allowed describes the allowed values for messages and documentation.
func (k *Key) Allowed() string {
	switch k.Kind {
	case KindName:
		return "1 to 64 letters, digits, '-', '_' or '.'"
	case KindAddr:
		return `IP:port, e.g. "10.0.0.5:7000"`
	case KindAddrs:
		return `list of IP:port, e.g. ["10.0.0.5:7100", "10.0.0.6:7100"]`
	case KindURL:
		return `http or https URL with an IP host, e.g. "http://10.0.0.9:9000"`
	case KindDuration:
		return fmt.Sprintf("duration from %s to %s, e.g. \"250ms\"", time.Duration(k.Min), time.Duration(k.Max))
	case KindSize:
		return fmt.Sprintf("size from %dMB to %dMB, e.g. \"64MB\"", k.Min/megabyte, k.Max/megabyte)
	case KindInt:
		return fmt.Sprintf("integer from %d to %d", k.Min, k.Max)
	case KindBool:
		return "true or false"
	case KindPath:
		return "path of a file"
	case KindEnum:
		return "one of " + strings.Join(k.Choices, ", ")
	}
	return ""
}

const (
	megabyte = int64(1) << 20
	gigabyte = int64(1) << 30
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// parse validates and converts the text of a value. For KindAddrs the text is one
// element of the list.
func (k *Key) parse(text string) (any, error) {
	switch k.Kind {
	case KindName:
		return text, errorUnless(namePattern.MatchString(text), "not a name")
	case KindAddr, KindAddrs:
		_, err := netip.ParseAddrPort(text)
		return text, errorUnless(err == nil, "not an IP:port address")
	case KindURL:
		return text, errorUnless(isIPURL(text), "not a URL with an IP host")
	case KindDuration:
		d, err := time.ParseDuration(text)
		if err != nil {
			return nil, fmt.Errorf("not a duration")
		}
		return d, k.inRange(int64(d))
	case KindSize:
		n, err := parseSize(text)
		if err != nil {
			return nil, err
		}
		return n, k.inRange(n)
	case KindInt:
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("not an integer")
		}
		return n, k.inRange(n)
	case KindBool:
		b, err := strconv.ParseBool(text)
		return b, errorUnless(err == nil, "not a boolean")
	case KindEnum:
		return text, errorUnless(contains(k.Choices, text), "not an allowed value")
	}
	return text, errorUnless(text != "", "empty")
}

func (k *Key) inRange(n int64) error { return errorUnless(n >= k.Min && n <= k.Max, "out of range") }

// errorUnless returns an error that states the problem, or nil if ok is true.
func errorUnless(ok bool, problem string) error {
	if ok {
		return nil
	}
	return fmt.Errorf("%s", problem)
}

func contains(list []string, text string) bool {
	for _, c := range list {
		if c == text {
			return true
		}
	}
	return false
}

// isIPURL reports whether text is an http or https URL whose host is an IP address.
func isIPURL(text string) bool {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		return false
	}
	_, err = netip.ParseAddr(u.Hostname())
	return err == nil
}

// parseSize parses a size in MB or GB, which are binary multiples.
func parseSize(text string) (int64, error) {
	unit := megabyte
	digits, found := strings.CutSuffix(text, "MB")
	if !found {
		unit = gigabyte
		digits, found = strings.CutSuffix(text, "GB")
	}
	n, err := strconv.ParseInt(digits, 10, 64)
	if !found || err != nil || n < 0 || n > math.MaxInt64/unit {
		return 0, fmt.Errorf("not a size with unit MB or GB")
	}
	return n * unit, nil
}
