// Package settings reads the TOML settings of a process.
//
// The sources of a value are, in order of increasing precedence, the default, the
// file, the environment (LIMPETTRAIL_ followed by the key in upper case, with
// underscores for dots) and the command line (--set key=value). All errors are
// reported together, each with its location, its key and the allowed values.
package settings

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2/unstable"
)

const envPrefix = "LIMPETTRAIL_"

// Error is one error in the settings.
type Error struct {
	Source  string // file name, environment variable or "--set"
	Line    int    // 0 if the source has no lines
	Key     string
	Problem string
	Allowed string // allowed values or how to correct the error, may be empty
}

// Error formats the error as "file:line: key: problem; allowed: ...".
func (e Error) Error() string {
	location := e.Source
	if e.Line > 0 {
		location = fmt.Sprintf("%s:%d", e.Source, e.Line)
	}
	text := location + ": "
	if e.Key != "" {
		text += e.Key + ": "
	}
	text += e.Problem
	if e.Allowed != "" {
		text += "; allowed: " + e.Allowed
	}
	return text
}

// Errors are all errors found, sorted by line.
type Errors []Error

// Error returns the text of all errors, one per line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i := range e {
		lines[i] = e[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Values are validated settings. Accessors other than Strings panic if the role has
// no such key.
type Values struct {
	role   Role
	values map[string]any
	lists  map[string][]string
}

// Load reads and validates the settings of a role. environ has the form of
// os.Environ. The error is of type Errors unless the file cannot be read.
func Load(role Role, file string, environ, overrides []string) (*Values, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(role, file, data, environ, overrides)
}

// Parse is like Load but takes the content of the file.
func Parse(role Role, file string, data []byte, environ, overrides []string) (*Values, error) {
	l := newLoader(role)
	l.readFile(file, data)
	l.readEnviron(environ)
	l.readOverrides(overrides)
	l.validate(file)
	if len(l.errors) > 0 {
		slices.SortStableFunc(l.errors, func(a, b Error) int { return cmp.Compare(a.Line, b.Line) })
		return nil, l.errors
	}
	return l.result, nil
}

// String returns a text value, or "" if it is not set.
func (v *Values) String(key string) string {
	s, _ := v.get(key).(string)
	return s
}

// Strings returns a list value, or nil if it is not set.
func (v *Values) Strings(key string) []string { return v.lists[key] }

// Duration returns a duration value.
func (v *Values) Duration(key string) time.Duration {
	d, _ := v.get(key).(time.Duration)
	return d
}

// Int returns an integer value, or a size in bytes.
func (v *Values) Int(key string) int64 {
	n, _ := v.get(key).(int64)
	return n
}

// Bool returns a boolean value.
func (v *Values) Bool(key string) bool {
	b, _ := v.get(key).(bool)
	return b
}

func (v *Values) get(key string) any {
	if !slices.ContainsFunc(Keys(v.role), func(k Key) bool { return k.Name == key }) {
		panic("settings: role " + string(v.role) + " has no key " + key)
	}
	return v.values[key]
}

// loader collects the values and the errors of all sources.
type loader struct {
	keys   map[string]*Key
	result *Values
	lines  map[string]int // line of each key that the file sets
	errors Errors
}

func newLoader(role Role) *loader {
	l := &loader{
		keys:   make(map[string]*Key),
		result: &Values{role: role, values: make(map[string]any), lists: make(map[string][]string)},
		lines:  make(map[string]int),
	}
	for _, k := range Keys(role) {
		l.keys[k.Name] = &k
		if k.Default != "" {
			l.result.values[k.Name], _ = k.parse(k.Default)
		}
	}
	return l
}

func (l *loader) addError(e Error) { l.errors = append(l.errors, e) }

// readFile walks the TOML syntax tree because, unlike a decoded value, it has the
// line number of each key.
func (l *loader) readFile(file string, data []byte) {
	var p unstable.Parser
	p.Reset(data)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table:
			table = dottedKey(e) + "."
		case unstable.KeyValue:
			l.readKeyValue(&p, file, table, e)
		case unstable.ArrayTable:
			l.addError(Error{Source: file, Line: lineOf(&p, e), Key: dottedKey(e), Problem: "arrays of tables are not allowed"})
		}
	}
	var syntax *unstable.ParserError
	if err := p.Error(); errors.As(err, &syntax) {
		line := p.Shape(p.Range(syntax.Highlight)).Start.Line
		l.addError(Error{Source: file, Line: line, Problem: "TOML syntax: " + syntax.Message})
	}
}

func (l *loader) readKeyValue(p *unstable.Parser, file, table string, node *unstable.Node) {
	name := table + dottedKey(node)
	e := Error{Source: file, Line: lineOf(p, node), Key: name}
	k := l.keys[name]
	if k == nil {
		e.Problem, e.Allowed = "unknown key", l.suggest(name)
		l.addError(e)
		return
	}
	if first, duplicate := l.lines[name]; duplicate {
		e.Problem = fmt.Sprintf("set twice, first on line %d", first)
		l.addError(e)
		return
	}
	l.lines[name] = e.Line
	texts, ok := valueTexts(k, node.Value())
	if !ok {
		e.Problem, e.Allowed = "wrong type", k.Allowed()
		l.addError(e)
		return
	}
	l.set(k, texts, e)
}

// set validates and stores a value. An error is reported with the location in e.
func (l *loader) set(k *Key, texts []string, e Error) {
	e.Key = k.Name
	for _, text := range texts {
		value, err := k.parse(text)
		if err != nil {
			e.Problem = fmt.Sprintf("%v: got %q", err, text)
			e.Allowed = k.Allowed()
			l.addError(e)
			return
		}
		l.result.values[k.Name] = value
	}
	if k.Kind == KindAddrs {
		l.result.lists[k.Name] = texts
	}
}

func (l *loader) readEnviron(environ []string) {
	for _, k := range Keys(l.result.role) {
		variable := envPrefix + strings.ToUpper(strings.ReplaceAll(k.Name, ".", "_"))
		for _, pair := range environ {
			if text, ok := strings.CutPrefix(pair, variable+"="); ok {
				l.set(&k, splitList(&k, text), Error{Source: variable})
			}
		}
	}
}

func (l *loader) readOverrides(overrides []string) {
	for _, pair := range overrides {
		name, text, ok := strings.Cut(pair, "=")
		k := l.keys[name]
		if !ok || k == nil {
			l.addError(Error{Source: "--set", Key: name, Problem: "unknown key", Allowed: l.suggest(name)})
			continue
		}
		l.set(k, splitList(k, text), Error{Source: "--set"})
	}
}

// splitList returns the comma-separated elements of a list, or the text itself
// for other kinds.
func splitList(k *Key, text string) []string {
	if k.Kind == KindAddrs {
		return strings.Split(text, ",")
	}
	return []string{text}
}
