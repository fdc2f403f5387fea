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

// layers orders the layers, longest-lived first. Packages outside of them wire
// the parts or stand in for others.
var layers = []string{"process", "version", "connection", "request"}

// layerRank returns the rank of a package by its path within the module.
func layerRank(path string) (int, bool) {
	layer, _, _ := strings.Cut(path, "/")
	for rank, name := range layers {
		if layer == name {
			return rank, true
		}
	}
	return 0, false
}

// goFiles returns the Go files of the repository.
func goFiles(t *testing.T, tests bool) []string {
	t.Helper()
	var files []string
	err := filepath.WalkDir(repositoryRoot, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		if strings.HasSuffix(path, "_test.go") == tests {
			files = append(files, path)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return files
}

func TestNoPackageImportsShorterLivedLayer(t *testing.T) {
	for _, file := range goFiles(t, false) {
		relative, err := filepath.Rel(repositoryRoot, file)
		if err != nil {
			t.Fatal(err)
		}
		importerRank, importerLayered := layerRank(filepath.ToSlash(relative))
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
		if err != nil {
			t.Fatal(err)
		}
		for _, spec := range parsed.Imports {
			path, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				t.Fatal(err)
			}
			packagePath, inModule := strings.CutPrefix(path, modulePrefix)
			importedRank, importedLayered := layerRank(packagePath)
			switch {
			case !importerLayered || !inModule:
			case !importedLayered:
				t.Errorf("%s imports %s, which belongs to no life span", relative, packagePath)
			case importedRank > importerRank:
				t.Errorf("%s imports %s, which lives shorter", relative, packagePath)
			}
		}
	}
}

func TestTestsNamedInProofsExist(t *testing.T) {
	var source strings.Builder
	for _, file := range goFiles(t, true) {
		source.WriteString(readFile(t, file))
	}
	page := readFile(t, filepath.Join(repositoryRoot, "docs/PROOFS.md"))
	for _, match := range regexp.MustCompile("`(Test[A-Za-z0-9]+)`").FindAllStringSubmatch(page, -1) {
		if !strings.Contains(source.String(), "func "+match[1]+"(") {
			t.Errorf("docs/PROOFS.md names %s, which does not exist", match[1])
		}
	}
}
