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

const module = "samphirehitch.example/samphirehitch/"

// lifeSpans orders the layers, longest-lived first. Packages outside of them wire
// the parts or stand in for others.
var lifeSpans = []string{"process", "version", "connection", "request"}

// lifeSpan returns the rank of a package by its path within the module.
func lifeSpan(path string) (int, bool) {
	layer, _, _ := strings.Cut(path, "/")
	for rank, name := range lifeSpans {
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
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
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

func TestNoPackageImportsAShorterLivedOne(t *testing.T) {
	for _, file := range goFiles(t, false) {
		relative, err := filepath.Rel(root, file)
		if err != nil {
			t.Fatal(err)
		}
		own, layered := lifeSpan(filepath.ToSlash(relative))
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
		if err != nil {
			t.Fatal(err)
		}
		for _, spec := range parsed.Imports {
			path, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				t.Fatal(err)
			}
			inner, ours := strings.CutPrefix(path, module)
			other, shorter := lifeSpan(inner)
			switch {
			case !layered || !ours:
			case !shorter:
				t.Errorf("%s imports %s, which belongs to no life span", relative, inner)
			case other > own:
				t.Errorf("%s imports %s, which lives shorter", relative, inner)
			}
		}
	}
}

func TestProofsNameTestsThatExist(t *testing.T) {
	var source strings.Builder
	for _, file := range goFiles(t, true) {
		source.WriteString(read(t, file))
	}
	page := read(t, filepath.Join(root, "docs/PROOFS.md"))
	for _, match := range regexp.MustCompile("`(Test[A-Za-z0-9]+)`").FindAllStringSubmatch(page, -1) {
		if !strings.Contains(source.String(), "func "+match[1]+"(") {
			t.Errorf("docs/PROOFS.md names %s, which does not exist", match[1])
		}
	}
}
