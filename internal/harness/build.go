package harness

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
)

const (
	modulePath = "github.com/limpettrail/limpettrail"
	binaryPkg  = modulePath + "/cmd/limpettrail"
	nodePkg    = modulePath + "/internal/harness/node"
)

// Binaries are the paths of the built programs.
type Binaries struct {
	Limpettrail string
	Node        string
	dir         string
}

var (
	buildOnce sync.Once
	built     Binaries
	buildErr  error
)

// Build builds the programs once in each test process, with the race detector.
// Call Remove at the end, e.g. in TestMain.
func Build() (Binaries, error) {
	buildOnce.Do(func() { built, buildErr = build() })
	return built, buildErr
}

// Remove deletes what Build built.
func Remove() {
	if built.dir != "" {
		os.RemoveAll(built.dir)
	}
}

func build() (Binaries, error) {
	dir, err := os.MkdirTemp("", "limpettrail-harness-")
	if err != nil {
		return Binaries{}, err
	}
	b := Binaries{Limpettrail: filepath.Join(dir, "limpettrail"), Node: filepath.Join(dir, "node"), dir: dir}
	for path, pkg := range map[string]string{b.Limpettrail: binaryPkg, b.Node: nodePkg} {
		out, err := exec.Command("go", "build", "-race", "-o", path, pkg).CombinedOutput()
		if err != nil {
			return b, fmt.Errorf("harness: build %s: %w\n%s", pkg, err, out)
		}
	}
	return b, nil
}
