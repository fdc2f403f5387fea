package docscheck

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	_ "samphirehitch.example/samphirehitch/demo"
	_ "samphirehitch.example/samphirehitch/edge"
	"samphirehitch.example/samphirehitch/process/event"
)

// repositoryRoot is relative to the folder in which the tests run.
const repositoryRoot = ".."

// listMarkdownFiles returns the paths of the documentation's pages.
func listMarkdownFiles(t *testing.T) []string {
	t.Helper()
	var files []string
	for _, pattern := range []string{"*.md", "docs/*.md", "docs/operations/*.md"} {
		matches, err := filepath.Glob(filepath.Join(repositoryRoot, pattern))
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, matches...)
	}
	return files
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// markdownLinkPattern has the link's file as its first submatch, without a fragment.
var markdownLinkPattern = regexp.MustCompile(`\]\(([^)#\s]+)(#[^)]*)?\)`)

func TestLinkedFilesExist(t *testing.T) {
	for _, page := range listMarkdownFiles(t) {
		for _, match := range markdownLinkPattern.FindAllStringSubmatch(readFile(t, page), -1) {
			linkedFile := match[1]
			if strings.Contains(linkedFile, "://") {
				continue
			}
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), linkedFile)); err != nil {
				t.Errorf("%s links to %s, which does not exist", page, linkedFile)
			}
		}
	}
}

var updateEvents = flag.Bool("update", false, "write docs/EVENTS.md from the code")

// eventCatalog returns the content that docs/EVENTS.md must have. The events are
// those that the imported packages define.
func eventCatalog() string {
	var page strings.Builder
	page.WriteString(eventCatalogHeader)
	for _, e := range event.All() {
		fmt.Fprintf(&page, "| %d | %s | %s |\n", e.Number, e.Severity, e.Text)
	}
	return page.String()
}

const eventCatalogHeader = `# Events

Each log line carries its event's number in the field ` + "`event`" + ` and its severity in
` + "`severity`" + `. Decisions are written at the debug level and can be switched off with
` + "`log.decisions`" + `. The page is written by ` + "`go test ./docscheck -update`" + `.

| Numbers | Part |
|---|---|
| 1000 to 1999 | daemon, peer links, membership |
| 2000 to 2499 | configuration and store |
| 2500 to 2999 | records |
| 3000 to 3499 | rate and connection ledger |
| 3500 to 3999 | pools and fair queues |
| 4000 to 4999 | database groups and promotion |
| 5000 to 5999 | callers' connections |
| 6000 to 6999 | requests and routing |
| 8000 to 8999 | stand-ins |
| 9000 to 9999 | load tool |

| Number | Severity | Text |
|---|---|---|
`

func TestEventCatalogMatchesCode(t *testing.T) {
	path := filepath.Join(repositoryRoot, "docs/EVENTS.md")
	if *updateEvents {
		if err := os.WriteFile(path, []byte(eventCatalog()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if readFile(t, path) != eventCatalog() {
		t.Errorf("docs/EVENTS.md differs from the events in the code; run go test ./docscheck -update")
	}
}

// listSettingNames returns the dotted names of all settings in a JSON schema, each
// with the prefix. A reference to a definition is replaced by the definition.
func listSettingNames(prefix string, schema jsonSchema, definitions map[string]jsonSchema) []string {
	var names []string
	for name, child := range schema.Properties {
		if strings.HasPrefix(child.Ref, "#/$defs/") {
			child = definitions[strings.TrimPrefix(child.Ref, "#/$defs/")]
		}
		path := prefix + name
		if len(child.Properties) > 0 {
			names = append(names, listSettingNames(path+".", child, definitions)...)
			continue
		}
		names = append(names, path)
	}
	return names
}

// jsonSchema holds the parts of a JSON schema that name settings.
type jsonSchema struct {
	Ref        string                `json:"$ref"`
	Properties map[string]jsonSchema `json:"properties"`
	Defs       map[string]jsonSchema `json:"$defs"`
}

func TestEverySettingIsDocumented(t *testing.T) {
	var schema jsonSchema
	if err := json.Unmarshal([]byte(readFile(t, filepath.Join(repositoryRoot, "process/settings/schema.json"))), &schema); err != nil {
		t.Fatal(err)
	}
	page := readFile(t, filepath.Join(repositoryRoot, "docs/CONFIGURATION.md"))
	names := listSettingNames("", schema, schema.Defs)
	settingExists := make(map[string]bool)
	for _, name := range names {
		settingExists[name] = true
		if !strings.Contains(page, "| `"+name+"` |") {
			t.Errorf("docs/CONFIGURATION.md lacks the setting %s", name)
		}
	}
	for _, match := range regexp.MustCompile("(?m)^\\| `([a-z_.]+)` \\|").FindAllStringSubmatch(page, -1) {
		if !settingExists[match[1]] {
			t.Errorf("docs/CONFIGURATION.md lists %s, which is not a setting", match[1])
		}
	}
}

func TestDocumentedCommandsExist(t *testing.T) {
	pattern := regexp.MustCompile(`(samphirehitch(?:d|ctl|-standin|-load|-demo|-capacity|-edge))\b`)
	for _, page := range listMarkdownFiles(t) {
		for _, match := range pattern.FindAllStringSubmatch(readFile(t, page), -1) {
			if _, err := os.Stat(filepath.Join(repositoryRoot, "cmd", match[1])); err != nil {
				t.Errorf("%s names the command %s, which is not in cmd", page, match[1])
			}
		}
	}
}

func TestDocumentedMetricsExist(t *testing.T) {
	source := metricDefinitionSource(t)
	pattern := regexp.MustCompile("samphirehitch_[a-z_]+")
	for _, page := range listMarkdownFiles(t) {
		for _, name := range pattern.FindAllString(readFile(t, page), -1) {
			if !strings.Contains(source, `"`+strings.TrimPrefix(name, "samphirehitch_")+`"`) {
				t.Errorf("%s names the metric %s, which the code does not define", page, name)
			}
		}
	}
}

// metricDefinitionSource returns the source of the packages that define metrics,
// where a metric's name is a string literal without the common prefix.
func metricDefinitionSource(t *testing.T) string {
	t.Helper()
	var source strings.Builder
	for _, pattern := range []string{"daemon/*.go", "edge/*.go"} {
		files, err := filepath.Glob(filepath.Join(repositoryRoot, pattern))
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			source.WriteString(readFile(t, file))
		}
	}
	return source.String()
}
