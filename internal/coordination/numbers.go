package coordination

func (s *State) nextNumber(command Command) (*State, Result, error) {
	last, known := s.numbers.Get(command.Name)
	size := 0
	if !known {
		size = entryOverheadBytes + len(command.Name)
	}
	if err := s.checkCapacity(size); err != nil {
		return s, Result{}, err
	}
	next := *s
	next.numbers = s.numbers.Set(command.Name, last+1)
	next.bytes += size
	return &next, Result{Number: last + 1}, nil
}
