package scenarios_test

import (
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/refuser"
)

const root = "../.."

// TestDocumentedFlags checks that docs/CONFIGURATION.md lists the flags, environment variables and defaults of the
// programs.
func TestDocumentedFlags(t *testing.T) {
	for _, program := range []string{"samphire-node", "samphire-control"} {
		documented := tableRows(t, section(t, "CONFIGURATION.md", "## "+program), 3)
		assert.DeepEqual(t, documented, parseFlags(helpText(t, program)))
	}
}

// TestDocumentedCommands checks that docs/COMMANDS.md lists the commands of samphire and their flags, and no others.
func TestDocumentedCommands(t *testing.T) {
	commands := make(map[string]string)
	collectCommands(t, nil, commands)
	for path, text := range commands {
		section := section(t, "COMMANDS.md", "### samphire "+path+"\n")
		_, options, _ := strings.Cut(text, "command options]")
		for _, flag := range parseFlags(options) {
			name, _, _ := strings.Cut(flag, " ")
			assert.Assert(t, strings.Contains(section, "`"+name), "flag %s of %s is not documented", name, path)
		}
	}
	for _, heading := range regexp.MustCompile(`(?m)^### samphire (.*)$`).FindAllStringSubmatch(readPage(t, "COMMANDS.md"), -1) {
		_, ok := commands[heading[1]]
		assert.Assert(t, ok, "documented command %s does not exist", heading[1])
	}
	for _, flag := range parseFlags(helpText(t, "samphire")) {
		name, _, _ := strings.Cut(flag, " ")
		assert.Assert(t, strings.Contains(readPage(t, "COMMANDS.md"), "`"+name), "flag %s of samphire is not documented", name)
	}
}

// TestDocumentedErrorKinds checks that docs/ERRORS.md lists each error kind with its status, whether the request may be
// retried, and its message.
func TestDocumentedErrorKinds(t *testing.T) {
	var wanted []string
	for _, kind := range refuser.Kinds() {
		answer := kind.Answer()
		retryable := map[bool]string{true: "yes", false: "no"}[answer.Retryable]
		wanted = append(wanted, fmt.Sprintf("%s %d %s %s", kind, answer.Status, retryable, answer.Message))
	}
	slices.Sort(wanted)
	assert.DeepEqual(t, tableRows(t, section(t, "ERRORS.md", "## Kinds"), 4), wanted)
}

// TestDocumentedLogPrefixes checks that docs/LOGS.md lists the prefixes of log messages that the sources use.
func TestDocumentedLogPrefixes(t *testing.T) {
	wanted := searchSources(t, `Part\("([a-z]+)"\)`)
	for i := range wanted {
		wanted[i] += ":"
	}
	assert.DeepEqual(t, tableRows(t, section(t, "LOGS.md", "## Prefixes"), 1), wanted)
}

// TestDocumentedMetrics checks that docs/METRICS.md lists the maps and counters that the programs publish. A counter whose
// name has a variable ending is documented with an asterisk.
func TestDocumentedMetrics(t *testing.T) {
	wanted := searchSources(t, `expvar\.New[A-Za-z]+\("([a-z_]+)"\)`)
	for i := range wanted {
		wanted[i] = "map " + wanted[i]
	}
	for _, name := range searchSources(t, `"([a-z_]+)": +&\w+\.\w+,`) {
		wanted = append(wanted, "counter "+name)
	}
	for _, counter := range searchSources(t, `\b[a-z]\w*\.Add\(("[a-z_]+"(?: ?\+)?)`) {
		name, isPrefix := strings.CutSuffix(counter, "+")
		name = strings.Trim(strings.TrimSpace(name), `"`)
		if isPrefix {
			name += "*"
		}
		wanted = append(wanted, "counter "+name)
	}
	slices.Sort(wanted)
	assert.DeepEqual(t, tableRows(t, section(t, "METRICS.md", "## Names"), 2), slices.Compact(wanted))
}

// TestDocumentedNames checks that the paths of the modules, and the names of tests, benchmarks, fuzz targets and scenarios,
// that the pages quote exist. A path may be followed by the name of a type or function, which begins with a capital.
func TestDocumentedNames(t *testing.T) {
	paths := regexp.MustCompile(`(?:^|[^\w./-])((?:core|node|control|ctl|platform|standin)/[\w./-]*)`)
	declared := regexp.MustCompile(`\.[A-Z].*`)
	tests := regexp.MustCompile(`(-run )?\b((?:Test|Benchmark|Fuzz)[A-Z0-9_]\w*)(?:/([\w-]+))?`)
	scenarios := map[string]string{"TestScenarios": "testdata", "TestScenariosAlone": "testdata/alone"}
	modules := []string{"core", "control", "node", "ctl", "platform", "standin"}
	functions := searchFiles(t, `(?m)^func ((?:Test|Benchmark|Fuzz)\w*)\(\w+ \*testing\.[TBF]\)`, modules, isTest)
	for _, page := range pages(t) {
		text := readPage(t, "../"+page)
		for _, match := range paths.FindAllStringSubmatch(text, -1) {
			path := strings.TrimRight(declared.ReplaceAllString(match[1], ""), ".")
			_, err := os.Stat(filepath.Join(root, path))
			assert.Check(t, err, "%s quotes the path %s", page, match[1])
		}
		for _, match := range tests.FindAllStringSubmatch(text, -1) {
			name, scenario := match[2], match[3]
			exists := slices.Contains(functions, name)
			if match[1] != "" && scenario == "" { // a pattern without quotes runs all functions that begin with it
				exists = slices.ContainsFunc(functions, func(function string) bool { return strings.HasPrefix(function, name) })
			}
			assert.Check(t, exists, "%s quotes %s, which is no function of a test file", page, name)
			if dir := scenarios[name]; dir != "" && scenario != "" {
				_, err := os.Stat(filepath.Join(dir, scenario+".txtar"))
				assert.Check(t, err, "%s quotes the scenario %s/%s", page, name, scenario)
			}
		}
	}
}

// pages returns the pages whose names are checked, as paths from the root. KNOWN-RED.txt is there only while faults are known.
func pages(t *testing.T) []string {
	t.Helper()
	var all []string
	for _, pattern := range []string{"README.md", "docs/*.md", "docs/design/*.md", "docs/incidents/*.md", "KNOWN-RED.txt"} {
		found, err := fs.Glob(os.DirFS(root), pattern)
		assert.NilError(t, err)
		assert.Assert(t, len(found) > 0 || pattern == "KNOWN-RED.txt", "no page matches %s", pattern)
		all = append(all, found...)
	}
	return all
}

func readPage(t *testing.T, name string) string {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(root, "docs", name))
	assert.NilError(t, err)
	return string(content)
}

// section returns the text of a documentation page between a heading and the next heading.
func section(t *testing.T, name, heading string) string {
	t.Helper()
	_, rest, ok := strings.Cut(readPage(t, name), heading)
	assert.Assert(t, ok, "%s has no heading %q", name, heading)
	if end := regexp.MustCompile(`(?m)^#+ `).FindStringIndex(rest); end != nil {
		rest = rest[:end[0]]
	}
	return rest
}

// tableRows returns, sorted, the rows of a Markdown table that start with code. Of each row it returns the first cells,
// without backticks and joined by spaces; empty cells are left out.
func tableRows(t *testing.T, text string, cells int) []string {
	t.Helper()
	var rows []string
	for line := range strings.Lines(text) {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		all := strings.Split(line, "|")
		assert.Assert(t, len(all) > cells, line)
		var kept []string
		for _, cell := range all[1 : cells+1] {
			if cell = strings.Trim(strings.TrimSpace(cell), "`"); cell != "" {
				kept = append(kept, cell)
			}
		}
		rows = append(rows, strings.Join(kept, " "))
	}
	slices.Sort(rows)
	return rows
}

// helpText returns what a program prints for a command with --help.
func helpText(t *testing.T, program string, command ...string) string {
	t.Helper()
	arguments := append(slices.Clone(command), "--help")
	output, err := exec.Command(filepath.Join(root, "bin", program), arguments...).Output()
	assert.NilError(t, err, "run %s from bin, which make build creates", program)
	return string(output)
}

// parseFlags returns the flags of a help text, each with its environment variable and default, sorted.
func parseFlags(text string) []string {
	text, _, _ = strings.Cut(text, "Help Options:")
	starts := regexp.MustCompile(`(?m)^ +--[a-z]`).FindAllStringIndex(text, -1)
	var flags []string
	for i, start := range starts {
		end := len(text)
		if i+1 < len(starts) {
			end = starts[i+1][0]
		}
		block := strings.Join(strings.Fields(text[start[0]:end]), " ")
		parts := []string{regexp.MustCompile(`^--[a-z-]+`).FindString(block)}
		for _, pattern := range []string{`\[\$([A-Z_]+)\]`, `\(default: ([^)]*)\)`} {
			if found := regexp.MustCompile(pattern).FindStringSubmatch(block); found != nil {
				parts = append(parts, found[1])
			}
		}
		flags = append(flags, strings.Join(parts, " "))
	}
	slices.Sort(flags)
	return flags
}

// collectCommands adds the help text of each command that can be run to commands, by the command's path. A command whose
// usage asks for a subcommand (<...>) cannot be run itself.
func collectCommands(t *testing.T, path []string, commands map[string]string) {
	t.Helper()
	text := helpText(t, "samphire", path...)
	_, list, hasSubcommands := strings.Cut(text, "Available commands:\n")
	usage, _, _ := strings.Cut(text, "\n\n")
	if len(path) > 0 && (!hasSubcommands || !strings.Contains(usage, "<")) {
		commands[strings.Join(path, " ")] = text
	}
	for line := range strings.Lines(list) {
		if fields := strings.Fields(line); len(fields) > 0 {
			collectCommands(t, append(slices.Clone(path), fields[0]), commands)
		}
	}
}

// searchSources returns the distinct texts that the first group of pattern matches in the programs' sources, sorted. Tests
// are left out.
func searchSources(t *testing.T, pattern string) []string {
	t.Helper()
	isSource := func(path string) bool { return strings.HasSuffix(path, ".go") && !isTest(path) }
	return searchFiles(t, pattern, []string{"core", "control", "node", "ctl"}, isSource)
}

func isTest(path string) bool {
	return strings.HasSuffix(path, "_test.go")
}

// searchFiles returns the distinct texts that the first group of pattern matches in the chosen files of modules, sorted.
func searchFiles(t *testing.T, pattern string, modules []string, chosen func(path string) bool) []string {
	t.Helper()
	wanted := regexp.MustCompile(pattern)
	var found []string
	for _, module := range modules {
		err := filepath.WalkDir(filepath.Join(root, module), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !chosen(path) {
				return err
			}
			content, err := os.ReadFile(path)
			for _, match := range wanted.FindAllStringSubmatch(string(content), -1) {
				found = append(found, match[1])
			}
			return err
		})
		assert.NilError(t, err)
	}
	slices.Sort(found)
	return slices.Compact(found)
}
