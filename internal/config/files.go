package config

// NumFiles returns the number of decision files in the folder, including refused files.
func (s *Snapshot) NumFiles() int {
	n := len(s.refused)
	for _, k := range Kinds() {
		for _, name := range s.Subjects(k) {
			n += len(s.Decisions(Subject{Kind: k, Name: name}))
		}
	}
	return n
}
