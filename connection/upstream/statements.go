package upstream

// maxStatements bounds the prepared statements kept on one connection.
const maxStatements = 256

// Statements records the names of a connection's prepared statements and evicts
// them first in, first out. The zero value is empty.
type Statements struct {
	names       map[string]struct{}
	oldestFirst []string
}

// Has reports whether the statement is prepared on the connection.
func (s *Statements) Has(name string) bool {
	_, ok := s.names[name]
	return ok
}

// Add records a prepared statement.
func (s *Statements) Add(name string) {
	if s.Has(name) {
		return
	}
	if s.names == nil {
		s.names = make(map[string]struct{})
	}
	s.names[name] = struct{}{}
	s.oldestFirst = append(s.oldestFirst, name)
}

// Evict removes and returns the oldest statement if there are more than
// maxStatements. The caller must then close it on the target.
func (s *Statements) Evict() (name string, ok bool) {
	if len(s.oldestFirst) <= maxStatements {
		return "", false
	}
	name = s.oldestFirst[0]
	s.oldestFirst = s.oldestFirst[1:]
	delete(s.names, name)
	return name, true
}
