// Package docscheck holds the tests that compare the pages under docs with the
// code: links, event numbers, setting names, metric names and commands.
package docscheck
