package ingress

import "bytes"

// Costs of a header that net/http has parsed: a line of four bytes takes 65 bytes and an
// ordinary one 137, its own bytes included. What is charged is above both.
const (
	headerByteCost = 2
	headerLineCost = 100
)

// HeaderCost returns how many bytes of memory a header takes.
func HeaderCost(bytes, lines int) int64 {
	return headerByteCost*int64(bytes) + headerLineCost*int64(lines)
}

// HeaderScanner counts the bytes and lines of a header as they arrive and finds its end, an
// empty line. Line ends are LF or CR LF, as for net/http. Empty lines before the request line
// do not end the header: net/http skips some and refuses the request otherwise. The zero
// value is at the beginning of a header.
type HeaderScanner struct {
	Bytes int
	Lines int
	begun bool // a line that is not empty has begun
	// length is how many bytes of the current line have arrived, at most 2. cr is set if the
	// only one is CR.
	length int
	cr     bool
}

// Scan counts the bytes of p that belong to the header. It returns their number and whether
// the header has ended with them.
func (s *HeaderScanner) Scan(p []byte) (n int, ended bool) {
	for n < len(p) && !ended {
		end := bytes.IndexByte(p[n:], '\n')
		if end < 0 {
			s.extend(p[n:])
			n = len(p)
			break
		}
		s.extend(p[n : n+end])
		n += end + 1
		empty := s.length == 0 || s.cr
		ended = empty && s.begun
		s.begun = s.begun || !empty
		s.length, s.cr = 0, false
		s.Lines++
	}
	s.Bytes += n
	return n, ended
}

// extend adds bytes to the current line.
func (s *HeaderScanner) extend(p []byte) {
	if len(p) == 0 {
		return
	}
	s.cr = s.length == 0 && len(p) == 1 && p[0] == '\r'
	s.length = min(2, s.length+len(p))
}
