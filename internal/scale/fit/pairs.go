package fit

import (
	"fernlanding/internal/scale/result"
)

// Pair is a metric measured with hollow and with real proxies under the same load.
type Pair struct {
	Source result.Source
	Size   result.Size
	Role   Role
	Metric Metric
	Hollow float64 // mean over the rounds, over all processes
	Real   float64 // mean over the rounds, over all processes
}

// Pairs returns all metrics of points of the same size that were measured both with hollow and with
// real proxies.
func Pairs(results []*result.Result) []Pair {
	var all []Pair
	for _, hollow := range results {
		for _, actual := range results {
			isPair := hollow.Hollow && !actual.Hollow
			if isPair && hollow.Source == actual.Source && hollow.Dimension == actual.Dimension {
				all = append(all, pairsOfResults(hollow, actual)...)
			}
		}
	}
	return all
}

func pairsOfResults(hollow, actual *result.Result) []Pair {
	var all []Pair
	for i := range hollow.Points {
		for k := range actual.Points {
			if hollow.Points[i].Size == actual.Points[k].Size {
				all = append(all, pairsOfPoints(hollow.Source, &hollow.Points[i], &actual.Points[k])...)
			}
		}
	}
	return all
}

func pairsOfPoints(source result.Source, hollow, actual *result.Point) []Pair {
	var all []Pair
	for _, role := range Roles() {
		for _, metric := range Metrics() {
			hollowMean, hollowOK := MeanOf(hollow, role, metric)
			actualMean, actualOK := MeanOf(actual, role, metric)
			if !hollowOK || !actualOK {
				continue
			}
			all = append(all, Pair{
				Source: source,
				Size:   hollow.Size,
				Role:   role,
				Metric: metric,
				Hollow: hollowMean,
				Real:   actualMean,
			})
		}
	}
	return all
}
