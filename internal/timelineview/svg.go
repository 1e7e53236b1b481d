package timelineview

import (
	"fmt"
	"html"
	"io"
	"strings"

	"github.com/limpettrail/limpettrail/core/timeline"
)

// Dimensions of the image in pixels.
const (
	laneWidth    = 230
	rowHeight    = 18
	timeWidth    = 90
	headerHeight = 34
	margin       = 10
	dotRadius    = 4
)

var laneColours = []string{"#2f6fb0", "#b0562f", "#3c8f4f", "#7a4fb0", "#a08a1e", "#b02f63"}

// SVG writes an image with one lane for each process, one row for each event in
// merged order, and the time since the first event on the left.
func SVG(w io.Writer, events []timeline.MergedEvent) error {
	lanes := laneOrder(events)
	var b strings.Builder
	width := timeWidth + laneWidth*len(lanes) + 2*margin
	height := headerHeight + rowHeight*len(events) + 2*margin
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`, width, height)
	b.WriteString(`<rect width="100%" height="100%" fill="white"/>`)
	for i, name := range lanes {
		drawLane(&b, i, name, height)
	}
	for row, e := range events {
		drawEvent(&b, row, events, e, lanes)
	}
	b.WriteString("</svg>\n")
	_, err := io.WriteString(w, b.String())
	return err
}

// laneOrder returns the processes in the order of their first events.
func laneOrder(events []timeline.MergedEvent) []string {
	var lanes []string
	seen := make(map[string]bool)
	for _, e := range events {
		if !seen[e.Process] {
			seen[e.Process] = true
			lanes = append(lanes, e.Process)
		}
	}
	return lanes
}

// laneX returns the x coordinate of the line of a lane.
func laneX(lane int) int { return margin + timeWidth + lane*laneWidth + dotRadius }

func drawLane(b *strings.Builder, lane int, name string, height int) {
	x := laneX(lane)
	colour := laneColours[lane%len(laneColours)]
	fmt.Fprintf(b, `<text x="%d" y="%d" font-weight="bold" fill="%s">%s</text>`, x, margin+12, colour, html.EscapeString(name))
	fmt.Fprintf(b, `<line x1="%d" y1="%d" x2="%d" y2="%d" stroke="%s" stroke-opacity="0.3"/>`, x, headerHeight, x, height-margin, colour)
}

func drawEvent(b *strings.Builder, row int, events []timeline.MergedEvent, e timeline.MergedEvent, lanes []string) {
	lane := 0
	for i, name := range lanes {
		if name == e.Process {
			lane = i
		}
	}
	x, y := laneX(lane), headerHeight+rowHeight*row+rowHeight/2
	fmt.Fprintf(b, `<text x="%d" y="%d" fill="#666">+%s</text>`, margin, y+4, sinceFirst(events, e))
	fmt.Fprintf(b, `<circle cx="%d" cy="%d" r="%d" fill="%s"/>`, x, y, dotRadius, laneColours[lane%len(laneColours)])
	fmt.Fprintf(b, `<text x="%d" y="%d">%s</text>`, x+2*dotRadius, y+4, html.EscapeString(eventLabel(e)))
}

func eventLabel(e timeline.MergedEvent) string {
	text := e.Name
	if e.Task >= 0 {
		text += fmt.Sprintf(" #%d", e.Task)
	}
	if e.Detail != "" {
		text += " " + e.Detail
	}
	return text
}
