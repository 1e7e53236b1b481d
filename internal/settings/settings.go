// Package settings reads the TOML settings of a process.
//
// A value comes from, in rising precedence: the default, the file, the
// environment (LIMPETTRAIL_ and the key in upper case, dots as underscores),
// and the command line (--set key=value). Every fault in them is reported at
// once, each with its place, its key and what is allowed.
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

// Fault is one problem in the settings.
type Fault struct {
	Source  string // file name, environment variable or "--set"
	Line    int    // 0 if the source has no lines
	Key     string
	Problem string
	Allowed string
}

// Error formats the fault as "file:line: key: problem; allowed: ...".
func (f Fault) Error() string {
	place := f.Source
	if f.Line > 0 {
		place = fmt.Sprintf("%s:%d", f.Source, f.Line)
	}
	text := place + ": "
	if f.Key != "" {
		text += f.Key + ": "
	}
	text += f.Problem
	if f.Allowed != "" {
		text += "; allowed: " + f.Allowed
	}
	return text
}

// Faults are all problems found, in order of their place.
type Faults []Fault

// Error joins the faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Values are checked settings. Accessors panic on a key that the role lacks.
type Values struct {
	role   Role
	values map[string]any
	lists  map[string][]string
}

// Load reads and checks the settings of a role. environ has the form of
// os.Environ. The error is of type Faults unless the file cannot be read.
func Load(role Role, file string, environ, overrides []string) (*Values, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(role, file, data, environ, overrides)
}

// Parse is Load for content already read.
func Parse(role Role, file string, data []byte, environ, overrides []string) (*Values, error) {
	l := newLoader(role)
	l.readFile(file, data)
	l.readEnviron(environ)
	l.readOverrides(overrides)
	l.finish(file)
	if len(l.faults) > 0 {
		slices.SortStableFunc(l.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
		return nil, l.faults
	}
	return l.out, nil
}

// String returns a text value; an unset one is empty.
func (v *Values) String(key string) string {
	s, _ := v.get(key).(string)
	return s
}

// Strings returns a list value.
func (v *Values) Strings(key string) []string { return v.lists[key] }

// Duration returns a duration.
func (v *Values) Duration(key string) time.Duration {
	d, _ := v.get(key).(time.Duration)
	return d
}

// Int returns an integer, or a size in bytes.
func (v *Values) Int(key string) int64 {
	n, _ := v.get(key).(int64)
	return n
}

// Bool returns a boolean.
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

// loader collects values and faults.
type loader struct {
	keys   map[string]*Key
	out    *Values
	lines  map[string]int
	faults Faults
}

func newLoader(role Role) *loader {
	l := &loader{
		keys:  make(map[string]*Key),
		out:   &Values{role: role, values: make(map[string]any), lists: make(map[string][]string)},
		lines: make(map[string]int),
	}
	for _, k := range Keys(role) {
		l.keys[k.Name] = &k
		if k.Default != "" {
			l.out.values[k.Name], _ = k.parse(k.Default)
		}
	}
	return l
}

func (l *loader) fault(f Fault) { l.faults = append(l.faults, f) }

// readFile walks the TOML syntax tree, which, unlike a decoded value, has the
// line of each key.
func (l *loader) readFile(file string, data []byte) {
	var p unstable.Parser
	p.Reset(data)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table:
			table = joinKey(e) + "."
		case unstable.KeyValue:
			l.readPair(&p, file, table, e)
		case unstable.ArrayTable:
			l.fault(Fault{Source: file, Line: lineOf(&p, e), Key: joinKey(e), Problem: "arrays of tables are not used"})
		}
	}
	var syntax *unstable.ParserError
	if err := p.Error(); errors.As(err, &syntax) {
		line := p.Shape(p.Range(syntax.Highlight)).Start.Line
		l.fault(Fault{Source: file, Line: line, Problem: "TOML syntax: " + syntax.Message})
	}
}

func (l *loader) readPair(p *unstable.Parser, file, table string, e *unstable.Node) {
	name := table + joinKey(e)
	f := Fault{Source: file, Line: lineOf(p, e), Key: name}
	k := l.keys[name]
	if k == nil {
		f.Problem, f.Allowed = "unknown key", l.suggest(name)
		l.fault(f)
		return
	}
	if first, twice := l.lines[name]; twice {
		f.Problem = fmt.Sprintf("set twice, first on line %d", first)
		l.fault(f)
		return
	}
	l.lines[name] = f.Line
	texts, ok := scalarTexts(k, e.Value())
	if !ok {
		f.Problem, f.Allowed = "wrong type", k.Allowed()
		l.fault(f)
		return
	}
	l.set(k, texts, f)
}

// set checks and stores a value; a fault is reported with the place in f.
func (l *loader) set(k *Key, texts []string, f Fault) {
	f.Key = k.Name
	for _, text := range texts {
		value, err := k.parse(text)
		if err != nil {
			f.Problem = fmt.Sprintf("%v: got %q", err, text)
			f.Allowed = k.Allowed()
			l.fault(f)
			return
		}
		l.out.values[k.Name] = value
	}
	if k.Kind == KindAddrs {
		l.out.lists[k.Name] = texts
	}
}

func (l *loader) readEnviron(environ []string) {
	for _, k := range Keys(l.out.role) {
		variable := envPrefix + strings.ToUpper(strings.ReplaceAll(k.Name, ".", "_"))
		for _, pair := range environ {
			if text, ok := strings.CutPrefix(pair, variable+"="); ok {
				l.set(&k, splitList(&k, text), Fault{Source: variable})
			}
		}
	}
}

func (l *loader) readOverrides(overrides []string) {
	for _, pair := range overrides {
		name, text, ok := strings.Cut(pair, "=")
		k := l.keys[name]
		if !ok || k == nil {
			l.fault(Fault{Source: "--set", Key: name, Problem: "unknown key", Allowed: l.suggest(name)})
			continue
		}
		l.set(k, splitList(k, text), Fault{Source: "--set"})
	}
}

func splitList(k *Key, text string) []string {
	if k.Kind == KindAddrs {
		return strings.Split(text, ",")
	}
	return []string{text}
}
