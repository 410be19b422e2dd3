package config

// Files returns the number of decision files in the folder, refused ones included.
func (s *Snapshot) Files() int {
	n := len(s.bad)
	for _, k := range Kinds() {
		for _, name := range s.Subjects(k) {
			n += len(s.Decisions(Subject{Kind: k, Name: name}))
		}
	}
	return n
}
