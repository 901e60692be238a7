package rules

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

// Identifiers are unique and of one form, and every rule has all its texts.
func TestEveryRuleHasItsTexts(t *testing.T) {
	form := regexp.MustCompile(`^[A-Z]+(-[A-Z]+)*$`)
	seen := map[ID]bool{}
	for _, r := range All() {
		if !form.MatchString(string(r.ID)) || seen[r.ID] {
			t.Errorf("%q: of another form, or twice", r.ID)
		}
		seen[r.ID] = true
		for _, text := range []string{r.What, r.Why, r.Instead, r.Group} {
			if text == "" || strings.HasSuffix(text, ".") || strings.Contains(text, "\n") {
				t.Errorf("%s: %q", r.ID, text)
			}
		}
		if Get(r.ID) != r {
			t.Errorf("%s: Get returns another rule", r.ID)
		}
	}
	if Get("NONE").Why != "not registered" {
		t.Error("Get returns a rule that is not registered")
	}
}

// The operators' page has the rules as the code has them. `fernctl rules -markdown` writes them.
func TestOperatorsPageHasTheRules(t *testing.T) {
	data, err := os.ReadFile("../../" + Page)
	if err != nil {
		t.Fatal(err)
	}
	_, rest, hasBegin := strings.Cut(string(data), "<!-- rules: begin -->\n")
	got, _, hasEnd := strings.Cut(rest, "<!-- rules: end -->")
	if !hasBegin || !hasEnd || strings.TrimSpace(got) != strings.TrimSpace(Markdown()) {
		t.Error("the page has other rules than the code: put the output of `fernctl rules -markdown` between its marks")
	}
}
