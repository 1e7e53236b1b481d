// Package operator holds the operator's configuration commands: apply, get,
// list, diff, history, delete and outcome. Each command writes to an io.Writer
// and returns a Result; the command line only maps flags to calls.
//
// The input is TOML:
//
//	emphasis = "response"      # or "messages"
//
//	[[class]]
//	name = "quote"
//	within_ms = 800            # response time aimed for
//	success = 0.99             # share of jobs that must meet it
//	revision = 12              # optional: the revision that this replaces
//
//	[[team]]
//	name = "desk"
//	quota = 40                 # tasks in service, 0 means no bound
//
// Items that a file does not name stay as they are.
package operator

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/limpettrail/limpettrail/core/config"
	"github.com/limpettrail/limpettrail/core/policy"
)

// MaxFileBytes bounds an input file.
const MaxFileBytes = 1 << 20

// Problem is one fault of an input file.
type Problem struct {
	File    string
	Line    int
	Key     string // "class.within_ms"; empty for a syntax error
	Got     string
	Allowed string
}

// Error states file, line, key and what is allowed.
func (p Problem) Error() string {
	where := fmt.Sprintf("%s:%d", p.File, p.Line)
	if p.Key != "" {
		where += ": " + p.Key
	}
	if p.Allowed == "" {
		return where + ": " + p.Got
	}
	return fmt.Sprintf("%s: %s; allowed: %s", where, p.Got, p.Allowed)
}

// Wanted is one item as the file states it.
type Wanted struct {
	Change config.Change
	// HasBase says that the file states the revision that it replaces.
	HasBase bool
	Line    int
}

// field is one key of a section.
type field struct {
	line int
	kind unstable.Kind
	text string
}

// section is the top level or one [[class]] or [[team]] of the file.
type section struct {
	name   string // "", "class" or "team"
	line   int
	fields map[string]field
}

// keySpec is what is allowed for a key.
type keySpec struct {
	name     string
	kinds    []unstable.Kind
	allowed  string
	required bool
}

var (
	integer  = []unstable.Kind{unstable.Integer}
	number   = []unstable.Kind{unstable.Float, unstable.Integer}
	text     = []unstable.Kind{unstable.String}
	revision = "a whole number, 0 or more"

	specs = map[string][]keySpec{
		"": {
			{"emphasis", text, config.AllowedEmphasis, false},
			{"emphasis_revision", integer, revision, false},
		},
		"class": {
			{"name", text, config.AllowedName, true},
			{"within_ms", integer, config.AllowedResponseTarget, true},
			{"success", number, config.AllowedTargetShare, true},
			{"revision", integer, revision, false},
		},
		"team": {
			{"name", text, config.AllowedName, true},
			{"quota", integer, config.AllowedQuota, true},
			{"revision", integer, revision, false},
		},
	}
)

// parser collects the problems of one file.
type parser struct {
	file     string
	problems []Problem
}

func (p *parser) fault(line int, key, got, allowed string) {
	p.problems = append(p.problems, Problem{File: p.file, Line: line, Key: key, Got: got, Allowed: allowed})
}

// Parse reads an input file. It returns every problem at once; after a syntax
// error that is the only one.
func Parse(file string, data []byte) ([]Wanted, []Problem) {
	p := &parser{file: file}
	if len(data) > MaxFileBytes {
		p.fault(1, "", fmt.Sprintf("%d bytes", len(data)), fmt.Sprintf("at most %d bytes", MaxFileBytes))
		return nil, p.problems
	}
	var any map[string]any
	if err := toml.Unmarshal(data, &any); err != nil {
		p.syntax(err)
		return nil, p.problems
	}
	var out []Wanted
	for _, s := range p.sections(data) {
		out = p.wanted(out, s)
	}
	p.duplicates(out)
	slices.SortStableFunc(p.problems, func(a, b Problem) int { return a.Line - b.Line })
	if len(p.problems) > 0 {
		return nil, p.problems
	}
	return out, nil
}

func (p *parser) syntax(err error) {
	line := 1
	var de *toml.DecodeError
	if errors.As(err, &de) {
		line, _ = de.Position()
	}
	p.fault(line, "", strings.TrimPrefix(err.Error(), "toml: "), "")
}

// sections splits the file. The syntax is known to be right.
func (p *parser) sections(data []byte) []*section {
	var parse unstable.Parser
	parse.Reset(data)
	out := []*section{{line: 1, fields: make(map[string]field)}}
	for parse.NextExpression() {
		e := parse.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			out = append(out, p.newSection(&parse, e))
		case unstable.KeyValue:
			p.addField(&parse, out[len(out)-1], e)
		}
	}
	if err := parse.Error(); err != nil {
		p.syntax(err)
	}
	return out
}

// dotted returns the name and the line of the key of e.
func dotted(parse *unstable.Parser, e *unstable.Node) (string, int) {
	var parts []string
	line := 0
	for it := e.Key(); it.Next(); {
		n := it.Node()
		if line == 0 {
			line = parse.Shape(n.Raw).Start.Line
		}
		parts = append(parts, string(n.Data))
	}
	return strings.Join(parts, "."), line
}

func (p *parser) newSection(parse *unstable.Parser, e *unstable.Node) *section {
	name, line := dotted(parse, e)
	s := &section{name: name, line: line, fields: make(map[string]field)}
	if specs[name] == nil || name == "" || e.Kind != unstable.ArrayTable {
		p.fault(line, name, "unknown section ["+name+"]", "[[class]] and [[team]]")
		s.name = "unknown"
	}
	return s
}

func (p *parser) addField(parse *unstable.Parser, s *section, e *unstable.Node) {
	name, line := dotted(parse, e)
	specList, known := specs[s.name]
	if !known {
		return // reported with its section
	}
	i := slices.IndexFunc(specList, func(k keySpec) bool { return k.name == name })
	if i < 0 {
		p.fault(line, qualified(s.name, name), "unknown key", allowedKeys(s.name))
		return
	}
	v := e.Value()
	f := field{line: line, kind: v.Kind, text: string(v.Data)}
	s.fields[name] = f
	if !slices.Contains(specList[i].kinds, v.Kind) {
		p.fault(line, qualified(s.name, name), "a value of type "+strings.ToLower(v.Kind.String()), specList[i].allowed)
		f.kind = unstable.Invalid
		s.fields[name] = f
	}
}

func qualified(section, key string) string {
	if section == "" {
		return key
	}
	return section + "." + key
}

func allowedKeys(section string) string {
	var names []string
	for _, k := range specs[section] {
		names = append(names, k.name)
	}
	if section == "" {
		names = append(names, "[[class]]", "[[team]]")
	}
	return strings.Join(names, ", ")
}

// wanted turns a section into a change, if it states one.
func (p *parser) wanted(out []Wanted, s *section) []Wanted {
	w := Wanted{Line: s.line}
	before := len(p.problems)
	for _, k := range specs[s.name] {
		if _, ok := s.fields[k.name]; !ok && k.required {
			p.fault(s.line, qualified(s.name, k.name), "missing key", k.allowed)
		}
	}
	c := &w.Change
	base := "revision"
	switch s.name {
	case "class":
		c.Kind = config.KindClass
		c.Value.ResponseTargetMicros = p.integer(s, "within_ms", config.MaxResponseTarget.Milliseconds()) * 1000
		c.Value.TargetShare = p.number(s, "success")
	case "team":
		c.Kind = config.KindTeam
		c.Value.Quota = p.integer(s, "quota", config.MaxQuota)
	case "":
		base = "emphasis_revision"
		if _, ok := s.fields["emphasis"]; !ok {
			return p.loneRevision(out, s)
		}
		c.Kind = config.KindEmphasis
		c.Value.Emphasis = p.emphasis(s)
	default:
		return out
	}
	c.Name = s.fields["name"].text
	_, w.HasBase = s.fields[base]
	c.Base = p.integer(s, base, 1<<62)
	p.valueFaults(s, c, before)
	return append(out, w)
}

func (p *parser) loneRevision(out []Wanted, s *section) []Wanted {
	if f, ok := s.fields["emphasis_revision"]; ok {
		p.fault(f.line, "emphasis_revision", "given without emphasis", "only together with emphasis")
	}
	return out
}

// valueFaults reports what the configuration itself does not allow, for keys
// that have no problem yet.
func (p *parser) valueFaults(s *section, c *config.Change, before int) {
	for _, f := range c.Validate() {
		name := f.Field
		if name == "within" {
			name = "within_ms"
		}
		fl, ok := s.fields[name]
		key := qualified(s.name, name)
		known := slices.ContainsFunc(p.problems[before:], func(q Problem) bool { return q.Key == key })
		if ok && fl.kind != unstable.Invalid && !known {
			p.fault(fl.line, key, strconv.Quote(fl.text), f.Allowed)
		}
	}
}

// integer returns a whole number; one beyond limit either way becomes a
// problem. Absent keys and keys of another type yield 0.
func (p *parser) integer(s *section, key string, limit int64) int64 {
	f, ok := s.fields[key]
	if !ok || f.kind != unstable.Integer {
		return 0
	}
	n, err := strconv.ParseInt(strings.ReplaceAll(f.text, "_", ""), 0, 64)
	if err != nil || n > limit || n < -limit {
		i := slices.IndexFunc(specs[s.name], func(k keySpec) bool { return k.name == key })
		p.fault(f.line, qualified(s.name, key), f.text, specs[s.name][i].allowed)
		return 0
	}
	return n
}

func (p *parser) number(s *section, key string) float64 {
	f, ok := s.fields[key]
	if !ok || f.kind != unstable.Float && f.kind != unstable.Integer {
		return 0
	}
	n, err := strconv.ParseFloat(strings.ReplaceAll(f.text, "_", ""), 64)
	if err != nil {
		p.fault(f.line, qualified(s.name, key), f.text, config.AllowedTargetShare)
		return 0
	}
	return n
}

func (p *parser) emphasis(s *section) uint8 {
	f := s.fields["emphasis"]
	switch {
	case f.kind != unstable.String:
	case f.text == "messages":
		return uint8(policy.EmphasisMessages)
	case f.text != "response":
		p.fault(f.line, "emphasis", strconv.Quote(f.text), config.AllowedEmphasis)
	}
	return uint8(policy.EmphasisResponse)
}

func (p *parser) duplicates(all []Wanted) {
	seen := make(map[config.Key]int)
	for _, w := range all {
		k := w.Change.Key()
		if line, dup := seen[k]; dup && k.Name != "" {
			p.fault(w.Line, k.Kind.String()+".name", strconv.Quote(k.Name), fmt.Sprintf("each name once; line %d has it", line))
			continue
		}
		seen[k] = w.Line
	}
}
