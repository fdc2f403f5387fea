package upstream

// maxStatements bounds the prepared statements on one connection.
const maxStatements = 256

// Statements are the names of the prepared statements on a connection, oldest
// first out. The zero value is empty.
type Statements struct {
	known map[string]struct{}
	order []string
}

// Has reports whether the target knows the statement.
func (s *Statements) Has(name string) bool {
	_, ok := s.known[name]
	return ok
}

// Add records a statement.
func (s *Statements) Add(name string) {
	if s.Has(name) {
		return
	}
	if s.known == nil {
		s.known = make(map[string]struct{})
	}
	s.known[name] = struct{}{}
	s.order = append(s.order, name)
}

// Evict forgets and returns the oldest statement once there are too many. The
// caller closes it on the target.
func (s *Statements) Evict() (name string, ok bool) {
	if len(s.order) <= maxStatements {
		return "", false
	}
	name = s.order[0]
	s.order = s.order[1:]
	delete(s.known, name)
	return name, true
}
