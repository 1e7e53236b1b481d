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

// Binaries holds the paths of the built binaries.
type Binaries struct {
	Limpettrail string
	Node        string
	dir         string
}

// binaryBuilds holds the builds without (0) and with (1) the race detector.
var binaryBuilds [2]struct {
	once sync.Once
	bin  Binaries
	err  error
}

func buildIndex(race bool) int {
	if race {
		return 1
	}
	return 0
}

// BuildBinaries builds the binaries once per test process, separately with and without
// the race detector. Call RemoveBinaries at the end, for example in TestMain.
func BuildBinaries(race bool) (Binaries, error) {
	b := &binaryBuilds[buildIndex(race)]
	b.once.Do(func() { b.bin, b.err = runGoBuild(race) })
	return b.bin, b.err
}

// RemoveBinaries deletes the binaries that BuildBinaries created.
func RemoveBinaries() {
	for i := range binaryBuilds {
		if dir := binaryBuilds[i].bin.dir; dir != "" {
			os.RemoveAll(dir)
		}
	}
}

func runGoBuild(race bool) (Binaries, error) {
	dir, err := os.MkdirTemp("", "limpettrail-harness-")
	if err != nil {
		return Binaries{}, err
	}
	b := Binaries{Limpettrail: filepath.Join(dir, "limpettrail"), Node: filepath.Join(dir, "node"), dir: dir}
	for path, pkg := range map[string]string{b.Limpettrail: binaryPkg, b.Node: nodePkg} {
		out, err := exec.Command("go", "build", fmt.Sprintf("-race=%t", race), "-o", path, pkg).CombinedOutput()
		if err != nil {
			return b, fmt.Errorf("harness: build %s: %w\n%s", pkg, err, out)
		}
	}
	return b, nil
}
