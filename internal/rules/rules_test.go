package rules

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

// TestEveryRuleHasItsTexts checks that identifiers are unique and well-formed, and that every rule
// has all its texts.
func TestEveryRuleHasItsTexts(t *testing.T) {
	form := regexp.MustCompile(`^[A-Z]+(-[A-Z]+)*$`)
	seen := map[ID]bool{}
	for _, r := range All() {
		if !form.MatchString(string(r.ID)) || seen[r.ID] {
			t.Errorf("invalid or duplicate identifier %q", r.ID)
		}
		seen[r.ID] = true
		for _, text := range []string{r.What, r.Why, r.Instead, r.Group} {
			if text == "" || strings.HasSuffix(text, ".") || strings.Contains(text, "\n") {
				t.Errorf("%s: invalid text %q", r.ID, text)
			}
		}
		if Get(r.ID) != r {
			t.Errorf("%s: Get returns a different rule", r.ID)
		}
	}
	if Get("NONE").Why != "not registered" {
		t.Error("Get returns a rule for an unregistered identifier")
	}
}

// TestOperatorsPageHasTheRules checks that the rules on the operators' page are the output of
// `fernctl rules -markdown`.
func TestOperatorsPageHasTheRules(t *testing.T) {
	data, err := os.ReadFile("../../" + Page)
	if err != nil {
		t.Fatal(err)
	}
	_, rest, hasBegin := strings.Cut(string(data), "<!-- rules: begin -->\n")
	got, _, hasEnd := strings.Cut(rest, "<!-- rules: end -->")
	if !hasBegin || !hasEnd || strings.TrimSpace(got) != strings.TrimSpace(Markdown()) {
		t.Error("the page differs from the code: replace the rules section by the output of `fernctl rules -markdown`")
	}
}
