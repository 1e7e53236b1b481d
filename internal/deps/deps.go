//go:build deps

// Package deps keeps modules in go.mod that packages in development will import.
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
