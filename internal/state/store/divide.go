package store

// recordOverheadBytes is what the store counts for a record beside its key and value.
const recordOverheadBytes = 5

// Size returns the number of bytes that the store counts for the record.
func (r Record) Size() int { return len(r.Key) + len(r.Value) + recordOverheadBytes }

// Divide splits records into parts of at most limit bytes, in their order. A larger record is a part of its own. There is
// at least one part.
func Divide(records []Record, limit int) [][]Record {
	var out [][]Record
	first, size := 0, 0
	for i, r := range records {
		if i > first && size+r.Size() > limit {
			out = append(out, records[first:i:i])
			first, size = i, 0
		}
		size += r.Size()
	}
	return append(out, records[first:len(records):len(records)])
}
