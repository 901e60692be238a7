package tomldoc

// maxNearDistance is the largest Levenshtein distance at which a word counts as misspelt.
const maxNearDistance = 2

// maxNearLength is the length in bytes from which on words are not compared.
const maxNearLength = 40

// Nearest returns the known word that a misspelt one is probably meant to be, or "".
func Nearest(word string, known []string) string {
	nearest, least := "", maxNearDistance+1
	for _, k := range known {
		if d := distance(word, k); d < least && d < len(k) {
			least, nearest = d, k
		}
	}
	return nearest
}

// WithSuggestion returns a text that is followed by the nearest known word, if there is one.
func WithSuggestion(text, word string, known []string) string {
	if nearest := Nearest(word, known); nearest != "" {
		return text + ": " + nearest + " meant?"
	}
	return text
}

// distance returns the Levenshtein distance of two words. Long words count as far apart.
func distance(a, b string) int {
	if len(a) > maxNearLength || len(b) > maxNearLength {
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
