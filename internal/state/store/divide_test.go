package store

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestDivide(t *testing.T) {
	record := func(size int) Record { return Record{Key: strings.Repeat("k", size-recordOverheadBytes)} }
	tests := []struct {
		name  string
		sizes []int
		parts [][]int
	}{
		{"nothing", nil, [][]int{nil}},
		{"fits exactly", []int{40, 60}, [][]int{{40, 60}}},
		{"one byte too many", []int{40, 61, 10}, [][]int{{40}, {61, 10}}},
		{"a large record alone", []int{10, 200, 10}, [][]int{{10}, {200}, {10}}},
		{"large records only", []int{200, 300}, [][]int{{200}, {300}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var records []Record
			for _, n := range tt.sizes {
				records = append(records, record(n))
			}
			var got [][]int
			for _, part := range Divide(records, 100) {
				var sizes []int
				for _, r := range part {
					sizes = append(sizes, r.Size())
				}
				got = append(got, sizes)
			}
			is.Equal(got, tt.parts)
		})
	}
}
