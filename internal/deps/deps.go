//go:build deps

// Package deps pins libraries that packages under construction are about to use.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/joomcode/errorx"
	_ "github.com/pelletier/go-toml/v2"
	_ "github.com/rcrowley/go-metrics"
	_ "go.uber.org/goleak"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg/draw"
	_ "pgregory.net/rapid"
)
