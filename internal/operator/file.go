// Package operator implements the operator's configuration commands: apply, get,
// list, diff, history, delete and outcome. Each command writes to an io.Writer
// and returns a Result. The command-line interface only maps flags to calls.
//
// The input is TOML:
//
//	emphasis = "response"      # or "messages"
//
//	[[class]]
//	name = "quote"
//	within_ms = 800            # target response time
//	success = 0.99             # share of jobs that must meet the target
//	revision = 12              # optional: the revision that this one replaces
//
//	[[team]]
//	name = "desk"
//	quota = 40                 # weight in the fair shares within a class
//
// A quota also bounds the team's waiting tasks: an entry refuses a job of the team
// while the team's tasks that wait there in the job's class number at least 16 times
// the quota. Quota 0 means a default weight and no bound.
//
// Items that are not in the file are not changed.
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

// MaxFileBytes is the maximum size of an input file.
const MaxFileBytes = 1 << 20

// Problem is one error in an input file.
type Problem struct {
	File    string
	Line    int    // from 1
	Key     string // for example "class.within_ms"; empty if the problem is not with a key
	Got     string // what the file has, or the syntax error
	Allowed string // what is allowed; empty for a syntax error
}

// Error returns a message with the file, line, key, value and what is allowed.
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

// FileItem is one item of an input file.
type FileItem struct {
	Change config.Change
	// HasBase is whether the file states the revision to replace, which is then
	// Change.Base.
	HasBase bool
	Line    int
}

// field is one key-value pair of a section.
type field struct {
	line int
	kind unstable.Kind
	text string // as in the file; a string without its quotes
}

// section is the top level of the file or one [[class]] or [[team]] table.
type section struct {
	name   string // "", "class", "team" or "unknown"
	line   int
	fields map[string]field
}

// keySpec specifies the allowed values of a key.
type keySpec struct {
	name     string
	kinds    []unstable.Kind
	allowed  string
	required bool
}

var (
	integerKinds    = []unstable.Kind{unstable.Integer}
	numberKinds     = []unstable.Kind{unstable.Float, unstable.Integer}
	textKinds       = []unstable.Kind{unstable.String}
	allowedRevision = "a whole number, 0 or more"

	// specs holds the allowed keys of each section.
	specs = map[string][]keySpec{
		"": {
			{"emphasis", textKinds, config.AllowedEmphasis, false},
			{"emphasis_revision", integerKinds, allowedRevision, false},
		},
		"class": {
			{"name", textKinds, config.AllowedName, true},
			{"within_ms", integerKinds, config.AllowedResponseTarget, true},
			{"success", numberKinds, config.AllowedTargetShare, true},
			{"revision", integerKinds, allowedRevision, false},
		},
		"team": {
			{"name", textKinds, config.AllowedName, true},
			{"quota", integerKinds, config.AllowedQuota, true},
			{"revision", integerKinds, allowedRevision, false},
		},
	}
)

// parser parses one file and collects its problems.
type parser struct {
	file     string
	problems []Problem
}

func (p *parser) addProblem(line int, key, got, allowed string) {
	p.problems = append(p.problems, Problem{File: p.file, Line: line, Key: key, Got: got, Allowed: allowed})
}

// Parse parses an input file. It returns all problems of the file. A syntax error
// is returned as the only problem.
func Parse(file string, data []byte) ([]FileItem, []Problem) {
	p := &parser{file: file}
	if len(data) > MaxFileBytes {
		p.addProblem(1, "", fmt.Sprintf("%d bytes", len(data)), fmt.Sprintf("at most %d bytes", MaxFileBytes))
		return nil, p.problems
	}
	var document map[string]any
	if err := toml.Unmarshal(data, &document); err != nil {
		p.addSyntaxError(err)
		return nil, p.problems
	}
	var out []FileItem
	for _, s := range p.sections(data) {
		out = p.addItem(out, s)
	}
	p.checkDuplicates(out)
	slices.SortStableFunc(p.problems, func(a, b Problem) int { return a.Line - b.Line })
	if len(p.problems) > 0 {
		return nil, p.problems
	}
	return out, nil
}

func (p *parser) addSyntaxError(err error) {
	line := 1
	var de *toml.DecodeError
	if errors.As(err, &de) {
		line, _ = de.Position()
	}
	p.addProblem(line, "", strings.TrimPrefix(err.Error(), "toml: "), "")
}

// sections splits the file into sections. The syntax was validated before.
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
		p.addSyntaxError(err)
	}
	return out
}

// dottedKey returns the dotted name and the line of the key of e.
func dottedKey(parse *unstable.Parser, e *unstable.Node) (string, int) {
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

// newSection returns the section that a table header starts. It reports an unknown
// one.
func (p *parser) newSection(parse *unstable.Parser, e *unstable.Node) *section {
	name, line := dottedKey(parse, e)
	s := &section{name: name, line: line, fields: make(map[string]field)}
	if specs[name] == nil || name == "" || e.Kind != unstable.ArrayTable {
		p.addProblem(line, name, "unknown section ["+name+"]", "[[class]] and [[team]]")
		s.name = "unknown"
	}
	return s
}

// addField adds a key-value pair to its section. It reports an unknown key and a
// value of the wrong type.
func (p *parser) addField(parse *unstable.Parser, s *section, e *unstable.Node) {
	name, line := dottedKey(parse, e)
	specList, known := specs[s.name]
	if !known {
		return // the section is reported already
	}
	i := slices.IndexFunc(specList, func(k keySpec) bool { return k.name == name })
	if i < 0 {
		p.addProblem(line, qualifiedKey(s.name, name), "unknown key", allowedKeys(s.name))
		return
	}
	v := e.Value()
	f := field{line: line, kind: v.Kind, text: string(v.Data)}
	s.fields[name] = f
	if !slices.Contains(specList[i].kinds, v.Kind) {
		p.addProblem(line, qualifiedKey(s.name, name), "a value of type "+strings.ToLower(v.Kind.String()), specList[i].allowed)
		f.kind = unstable.Invalid
		s.fields[name] = f
	}
}

func qualifiedKey(section, key string) string {
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

// addItem appends the item of a section, if it has one.
func (p *parser) addItem(out []FileItem, s *section) []FileItem {
	item := FileItem{Line: s.line}
	before := len(p.problems)
	for _, k := range specs[s.name] {
		if _, ok := s.fields[k.name]; !ok && k.required {
			p.addProblem(s.line, qualifiedKey(s.name, k.name), "missing key", k.allowed)
		}
	}
	c := &item.Change
	baseKey := "revision"
	switch s.name {
	case "class":
		c.Kind = config.KindClass
		c.Value.ResponseTargetMicros = p.integer(s, "within_ms", config.MaxResponseTarget.Milliseconds()) * 1000
		c.Value.TargetShare = p.number(s, "success")
	case "team":
		c.Kind = config.KindTeam
		c.Value.Quota = p.integer(s, "quota", config.MaxQuota)
	case "":
		baseKey = "emphasis_revision"
		if _, ok := s.fields["emphasis"]; !ok {
			return p.checkLoneRevision(out, s)
		}
		c.Kind = config.KindEmphasis
		c.Value.Emphasis = p.emphasis(s)
	default:
		return out
	}
	c.Name = s.fields["name"].text
	_, item.HasBase = s.fields[baseKey]
	c.Base = p.integer(s, baseKey, 1<<62)
	p.checkValues(s, c, before)
	return append(out, item)
}

// checkLoneRevision reports an emphasis_revision without emphasis. It returns out
// unchanged.
func (p *parser) checkLoneRevision(out []FileItem, s *section) []FileItem {
	if f, ok := s.fields["emphasis_revision"]; ok {
		p.addProblem(f.line, "emphasis_revision", "given without emphasis", "only together with emphasis")
	}
	return out
}

// checkValues reports values that the configuration does not allow, for keys that
// have no problem yet. before is the number of problems before this section.
func (p *parser) checkValues(s *section, c *config.Change, before int) {
	for _, f := range c.Validate() {
		name := f.Field
		if name == "within" {
			name = "within_ms"
		}
		value, ok := s.fields[name]
		key := qualifiedKey(s.name, name)
		known := slices.ContainsFunc(p.problems[before:], func(q Problem) bool { return q.Key == key })
		if ok && value.kind != unstable.Invalid && !known {
			p.addProblem(value.line, key, strconv.Quote(value.text), f.Allowed)
		}
	}
}

// integer returns the integer value of a key. A value whose magnitude exceeds
// limit is a problem. Absent keys and keys of another type yield 0.
func (p *parser) integer(s *section, key string, limit int64) int64 {
	f, ok := s.fields[key]
	if !ok || f.kind != unstable.Integer {
		return 0
	}
	n, err := strconv.ParseInt(strings.ReplaceAll(f.text, "_", ""), 0, 64)
	if err != nil || n > limit || n < -limit {
		i := slices.IndexFunc(specs[s.name], func(k keySpec) bool { return k.name == key })
		p.addProblem(f.line, qualifiedKey(s.name, key), f.text, specs[s.name][i].allowed)
		return 0
	}
	return n
}

// number returns the value of a key that may have a fraction. Absent keys and keys
// of another type yield 0.
func (p *parser) number(s *section, key string) float64 {
	f, ok := s.fields[key]
	if !ok || f.kind != unstable.Float && f.kind != unstable.Integer {
		return 0
	}
	n, err := strconv.ParseFloat(strings.ReplaceAll(f.text, "_", ""), 64)
	if err != nil {
		p.addProblem(f.line, qualifiedKey(s.name, key), f.text, config.AllowedTargetShare)
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
		p.addProblem(f.line, "emphasis", strconv.Quote(f.text), config.AllowedEmphasis)
	}
	return uint8(policy.EmphasisResponse)
}

// checkDuplicates reports items that occur more than once.
func (p *parser) checkDuplicates(items []FileItem) {
	seen := make(map[config.Key]int)
	for _, item := range items {
		k := item.Change.Key()
		if line, dup := seen[k]; dup && k.Name != "" {
			p.addProblem(item.Line, k.Kind.String()+".name", strconv.Quote(k.Name), fmt.Sprintf("each name once; line %d has it", line))
			continue
		}
		seen[k] = item.Line
	}
}
