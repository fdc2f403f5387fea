package docscheck

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

const modulePrefix = "samphirehitch.example/samphirehitch/"

// layers are the folders of the proxy's core, ordered by the lifetime of the state
// that they hold, longest first. Packages in other folders assemble the layers,
// emulate outside systems or are tools, and may import all of them.
var layers = []string{"process", "version", "connection", "request"}

// layerRank returns the index in layers for a path within the module, or false when
// the path is in no layer.
func layerRank(path string) (int, bool) {
	layer, _, _ := strings.Cut(path, "/")
	for rank, name := range layers {
		if layer == name {
			return rank, true
		}
	}
	return 0, false
}

// listGoFiles returns the paths of the repository's Go files: the test files or the
// others.
func listGoFiles(t *testing.T, testFiles bool) []string {
	t.Helper()
	var files []string
	err := filepath.WalkDir(repositoryRoot, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		if strings.HasSuffix(path, "_test.go") == testFiles {
			files = append(files, path)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// TestNoPackageImportsShorterLivedLayer guards against long-lived state that depends on
// short-lived state: a layer imports only itself and the layers before it.
func TestNoPackageImportsShorterLivedLayer(t *testing.T) {
	for _, file := range listGoFiles(t, false) {
		importerFile, err := filepath.Rel(repositoryRoot, file)
		if err != nil {
			t.Fatal(err)
		}
		importerRank, importerLayered := layerRank(filepath.ToSlash(importerFile))
		sourceFile, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
		if err != nil {
			t.Fatal(err)
		}
		for _, spec := range sourceFile.Imports {
			path, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				t.Fatal(err)
			}
			importedPackage, inModule := strings.CutPrefix(path, modulePrefix)
			importedRank, importedLayered := layerRank(importedPackage)
			switch {
			case !importerLayered || !inModule:
			case !importedLayered:
				t.Errorf("%s imports %s, which is in no layer", importerFile, importedPackage)
			case importedRank > importerRank:
				t.Errorf("%s imports %s, which has a shorter lifetime", importerFile, importedPackage)
			}
		}
	}
}

func TestTestsNamedInProofsExist(t *testing.T) {
	var testSource strings.Builder
	for _, file := range listGoFiles(t, true) {
		testSource.WriteString(readFile(t, file))
	}
	page := readFile(t, filepath.Join(repositoryRoot, "docs/PROOFS.md"))
	for _, match := range regexp.MustCompile("`(Test[A-Za-z0-9]+)`").FindAllStringSubmatch(page, -1) {
		if !strings.Contains(testSource.String(), "func "+match[1]+"(") {
			t.Errorf("docs/PROOFS.md names the test %s, which does not exist", match[1])
		}
	}
}
