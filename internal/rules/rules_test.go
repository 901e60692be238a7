package rules

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

// Ids are unique and of one form, and every rule says what, why and what instead.
func TestEveryRuleSaysWhy(t *testing.T) {
	form, seen := regexp.MustCompile(`^[A-Z]+(-[A-Z]+)*$`), map[ID]bool{}
	for _, r := range All() {
		if !form.MatchString(string(r.ID)) || seen[r.ID] {
			t.Errorf("%q: of another form, or twice", r.ID)
		}
		seen[r.ID] = true
		for _, s := range []string{r.What, r.Why, r.Instead, r.Group} {
			if s == "" || strings.HasSuffix(s, ".") || strings.ContainsAny(s, "\n") {
				t.Errorf("%s: %q", r.ID, s)
			}
		}
		if Get(r.ID) != r {
			t.Errorf("%s: another one comes back", r.ID)
		}
	}
	if Get("NONE").Why != "not registered" {
		t.Error("a rule that is not registered")
	}
}

// The operators' page has the rules as the code has them. Mend it with: fernctl rules -markdown.
func TestThePageHasTheRules(t *testing.T) {
	data, err := os.ReadFile("../../" + Page)
	if err != nil {
		t.Fatal(err)
	}
	_, rest, begins := strings.Cut(string(data), "<!-- rules: begin -->\n")
	got, _, ends := strings.Cut(rest, "<!-- rules: end -->")
	if !begins || !ends || strings.TrimSpace(got) != strings.TrimSpace(Markdown()) {
		t.Error("the page has other rules than the code: put the output of `fernctl rules -markdown` between its marks")
	}
}
