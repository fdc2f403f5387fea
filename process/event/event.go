// Package event defines numbered log events. Each package that logs declares its
// events as package variables with Define. docs/EVENTS.md lists all events; a test
// checks that it is up to date.
package event

import (
	"fmt"
	"slices"
	"sync"

	"github.com/go-logr/logr"
)

// Severity classifies an event by its importance.
type Severity uint8

// Severities, in increasing order.
const (
	// Decision marks a routing or placement decision.
	Decision Severity = iota + 1
	Info
	Warning
	Failure
)

// String returns the name of the severity in logs and in docs/EVENTS.md.
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

// decisionVerbosity is the logr verbosity of decisions. They are frequent, so operators
// can disable them.
const decisionVerbosity = 1

// Event is a type of log event. Number identifies it uniquely in the program; Text is
// the message of its log lines.
type Event struct {
	Number   int
	Severity Severity
	Text     string
}

// registry holds the defined events by number.
var registry struct {
	mu     sync.Mutex
	events map[int]Event
}

// Define registers an event and returns it. It panics when the number is already
// defined; as events are package variables, this happens when the program starts.
func Define(number int, severity Severity, text string) Event {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	if registry.events == nil {
		registry.events = make(map[int]Event)
	}
	if other, defined := registry.events[number]; defined {
		panic(fmt.Sprintf("event %d is defined twice: %q and %q", number, other.Text, text))
	}
	e := Event{Number: number, Severity: severity, Text: text}
	registry.events[number] = e
	return e
}

// All returns all registered events, ordered by number.
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

// Log logs the event with alternating keys and values. The values must not contain
// secrets.
func (e Event) Log(logger logr.Logger, pairs ...any) {
	if e.Severity == Decision {
		logger = logger.V(decisionVerbosity)
	}
	if !logger.Enabled() {
		return
	}
	logger.Info(e.Text, append([]any{"event", e.Number, "severity", e.Severity.String()}, pairs...)...)
}

// LogError logs the event with the error that caused it and with alternating keys and
// values, which must not contain secrets.
func (e Event) LogError(logger logr.Logger, err error, pairs ...any) {
	logger.Error(err, e.Text, append([]any{"event", e.Number, "severity", e.Severity.String()}, pairs...)...)
}
