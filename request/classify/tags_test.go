package classify

import "testing"

func TestCommandTagNamesTheVerb(t *testing.T) {
	for text, tags := range map[string][2]string{
		"SELECT 1":                           {"SELECT 1", "INSERT 0 1"},
		"/* a */ ((select 1) union table t":  {"SELECT 2", "TABLE 2"},
		"VALUES (1)":                         {"SELECT 1", "SET"},
		"WITH x AS (SELECT 1) DELETE FROM t": {"DELETE 1", "SET"},
		"INSERT INTO t VALUES (1)":           {"INSERT 0 1", "INSERTED 1"},
		"COPY t FROM STDIN":                  {"COPY 1", "SELECT 1"},
		"TRUNCATE t":                         {"TRUNCATE TABLE", "DELETE 1"},
		"CREATE TABLE t AS SELECT 1":         {"SELECT 1", ""},
	} {
		if !CanComplete(text, tags[0]) {
			t.Errorf("%q cannot complete with %q", text, tags[0])
		}
		if tags[1] != "" && CanComplete(text, tags[1]) {
			t.Errorf("%q can complete with %q", text, tags[1])
		}
	}
}
