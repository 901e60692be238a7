package tomldoc

import "fmt"

// maxTypoDistance is the largest Levenshtein distance at which a word counts as a misspelling of
// another.
const maxTypoDistance = 2

// maxComparedLength is the length in bytes up to which words are compared.
const maxComparedLength = 40

// Nearest returns the known word of which word is probably a misspelling, or "" if there is none.
func Nearest(word string, known []string) string {
	nearest, minDistance := "", maxTypoDistance+1
	for _, k := range known {
		if d := levenshtein(word, k); d < minDistance && d < len(k) {
			minDistance, nearest = d, k
		}
	}
	return nearest
}

// WithSuggestion returns text followed by the known word that is nearest to word, if there is one.
func WithSuggestion(text, word string, known []string) string {
	if nearest := Nearest(word, known); nearest != "" {
		return fmt.Sprintf("%s; did you mean %q?", text, nearest)
	}
	return text
}

// levenshtein returns the Levenshtein distance of two words. If one of them is longer than
// maxComparedLength, levenshtein returns the sum of their lengths.
func levenshtein(a, b string) int {
	if len(a) > maxComparedLength || len(b) > maxComparedLength {
		return len(a) + len(b)
	}
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost = 1 + min(diagonal, row[j], row[j+1])
			}
			diagonal, row[j+1] = row[j+1], cost
		}
	}
	return row[len(b)]
}
