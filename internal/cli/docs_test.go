package cli

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/alexflint/go-arg"
	"gotest.tools/v3/assert"
)

// documentedCommand is a command line in a page.
type documentedCommand struct {
	location string // file:line
	argv     []string
}

// Guards against documented command lines that the binary rejects. The command
// lines are only parsed, not run.
func TestCommandLinesInDocsParse(t *testing.T) {
	pages, err := filepath.Glob("../../docs/*.md")
	assert.NilError(t, err)
	if _, err := os.Stat("../../README.md"); err == nil {
		pages = append(pages, "../../README.md")
	}
	found := 0
	for _, page := range pages {
		data, err := os.ReadFile(page)
		assert.NilError(t, err)
		for _, c := range commandsIn(filepath.Base(page), string(data)) {
			found++
			var a args
			p, err := arg.NewParser(arg.Config{Program: "limpettrail"}, &a)
			assert.NilError(t, err)
			assert.NilError(t, p.Parse(c.argv), "%s: %v", c.location, c.argv)
			assert.Assert(t, a.command() != nil, "%s: %v", c.location, c.argv)
		}
	}
	assert.Assert(t, found > 20, "only %d command lines found in %v", found, pages)
}

// Guards against a parser of pages that finds no command lines, with which
// TestCommandLinesInDocsParse would check nothing.
func TestCommandLinesAreFoundInPage(t *testing.T) {
	page := "text `limpettrail version` and `limpettrail`\n```sh\n$ limpettrail config --log $LOG \\\n    list | head # all\nsudo -u x limpettrail check --role entry 'a b.toml' && limpettrail version\n```\nlimpettrail runs\n"
	var got []string
	for _, c := range commandsIn("page", page) {
		got = append(got, c.location+" "+strings.Join(c.argv, ","))
	}
	assert.DeepEqual(t, got, []string{
		"page:1 version",
		"page:3 config,--log,$LOG,list",
		"page:5 check,--role,entry,a b.toml",
		"page:5 version",
	})
}

// commandsIn returns the command lines in fenced sh blocks and in inline code. A
// line that ends in a backslash continues on the next line.
func commandsIn(name, page string) []documentedCommand {
	var out []documentedCommand
	fence := ""
	start, joined := 0, ""
	for i, line := range strings.Split(page, "\n") {
		if lang, ok := strings.CutPrefix(strings.TrimSpace(line), "```"); ok {
			if fence != "" {
				fence = ""
			} else {
				fence = "block " + lang
			}
			continue
		}
		if joined == "" {
			start = i + 1
		}
		switch {
		case fence == "":
			out = append(out, inlineCommands(name, i+1, line)...)
		case fence != "block sh":
		case strings.HasSuffix(line, "\\"):
			joined += strings.TrimSuffix(line, "\\") + " "
		default:
			out = append(out, shellCommands(name, start, joined+line)...)
			joined = ""
		}
	}
	return out
}

// inlineCommands returns the command lines in the inline code of a line.
func inlineCommands(name string, line int, text string) []documentedCommand {
	var out []documentedCommand
	for i, span := range strings.Split(text, "`") {
		if i%2 == 1 && strings.HasPrefix(span, "limpettrail ") {
			out = append(out, shellCommands(name, line, span)...)
		}
	}
	return out
}

// shellCommands splits a line into words and returns, for each word
// "limpettrail", the words that follow it up to the end of the command.
func shellCommands(name string, line int, text string) []documentedCommand {
	var out []documentedCommand
	var argv []string
	inside := false
	end := func() {
		if inside {
			out = append(out, documentedCommand{location: name + ":" + strconv.Itoa(line), argv: argv})
		}
		inside, argv = false, nil
	}
	for _, w := range shellWords(text) {
		switch {
		case strings.HasPrefix(w, "#"):
			end()
			return out
		case w == "|" || w == "&&" || w == ";" || w == "&" || w == "||" || strings.HasPrefix(w, ">") || strings.HasPrefix(w, "2>"):
			end()
		case !inside && (w == "limpettrail" || strings.HasSuffix(w, "/limpettrail")):
			inside = true
		case inside:
			argv = append(argv, w)
		}
	}
	end()
	return out
}

// shellWords splits a line at spaces and tabs outside quotes and removes the
// quotes.
func shellWords(text string) []string {
	var out []string
	var word strings.Builder
	quote, inWord := rune(0), false
	for _, r := range text + " " {
		switch {
		case quote != 0 && r == quote:
			quote = 0
		case quote == 0 && (r == '\'' || r == '"'):
			quote, inWord = r, true
		case quote == 0 && (r == ' ' || r == '\t'):
			if inWord {
				out = append(out, word.String())
			}
			word.Reset()
			inWord = false
		default:
			word.WriteRune(r)
			inWord = true
		}
	}
	return out
}
