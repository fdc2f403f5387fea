package session

import "testing"

// Guards against a list that becomes the name of one schema: SET takes each literal as one
// identifier.
func TestSearchPathKeepsItsParts(t *testing.T) {
	for value, want := range map[string]string{
		`depot`:                  `'depot'`,
		`depot,mill`:             `'depot', 'mill'`,
		` Depot , "Mi,""ll" , x`: `'depot', 'Mi,"ll', 'x'`,
		`"$user", public`:        `'$user', 'public'`,
		`"it's"`:                 `'it''s'`,
		`"a\b", "'; DROP x --"`:  ` E'a\\b', '''; DROP x --'`,
		``:                       `''`,
	} {
		got, ok := SettingLiteral("search_path", value)
		if !ok || got != want {
			t.Errorf("%s: got %s, %v; want %s", value, got, ok, want)
		}
	}
	for _, value := range []string{"a b", "a,", ",a", `"a`, `"a"b`, `a"b" c`, `""`} {
		if got, ok := SettingLiteral("search_path", value); ok {
			t.Errorf("%s: got %s", value, got)
		}
	}
	if got, ok := SettingLiteral("datestyle", "ISO, DMY"); !ok || got != "'ISO, DMY'" {
		t.Errorf("got %s", got)
	}
}
