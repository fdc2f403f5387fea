// Package event logs numbered events. Each package that logs declares its
// events as package variables through Define; docs/EVENTS.md catalogues them and
// a test compares the two.
package event

import (
	"fmt"
	"slices"
	"sync"

	"github.com/go-logr/logr"
)

// Severity is the weight of an event.
type Severity uint8

// Severities. Decision marks one routing or placement decision.
const (
	Decision Severity = iota + 1
	Info
	Warning
	Failure
)

// String names the severity as the catalogue does.
func (s Severity) String() string {
	switch s {
	case Decision:
		return "decision"
	case Info:
		return "info"
	case Warning:
		return "warning"
	case Failure:
		return "failure"
	default:
		return "unknown"
	}
}

// decisionVerbosity is the logr level of decisions: they are many, and an
// operator may switch them off.
const decisionVerbosity = 1

// Event is a kind of log line. Number is unique in the program.
type Event struct {
	Number   int
	Severity Severity
	Text     string
}

var registry struct {
	mu     sync.Mutex
	events map[int]Event
}

// Define registers an event. It panics when the number is taken, which shows at
// start-up.
func Define(number int, severity Severity, text string) Event {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	if registry.events == nil {
		registry.events = make(map[int]Event)
	}
	if other, taken := registry.events[number]; taken {
		panic(fmt.Sprintf("event %d is defined twice: %q and %q", number, other.Text, text))
	}
	e := Event{Number: number, Severity: severity, Text: text}
	registry.events[number] = e
	return e
}

// All returns every registered event by number.
func All() []Event {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	all := make([]Event, 0, len(registry.events))
	for _, e := range registry.events {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b Event) int { return a.Number - b.Number })
	return all
}

// Log writes the event with key-value pairs. Pairs never carry a secret.
func (e Event) Log(logger logr.Logger, pairs ...any) {
	if e.Severity == Decision {
		logger = logger.V(decisionVerbosity)
	}
	if !logger.Enabled() {
		return
	}
	logger.Info(e.Text, append([]any{"event", e.Number, "severity", e.Severity.String()}, pairs...)...)
}

// LogError writes the event with the error that caused it.
func (e Event) LogError(logger logr.Logger, err error, pairs ...any) {
	logger.Error(err, e.Text, append([]any{"event", e.Number, "severity", e.Severity.String()}, pairs...)...)
}
