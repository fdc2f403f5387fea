// Package docscheck holds tests only. They compare the documentation with the code
// (links, events, settings, metrics, commands and tests that it names) and check
// the direction of imports between layers.
package docscheck
