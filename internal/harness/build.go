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

// builds holds the programs with and without the race detector.
var builds [2]struct {
	once sync.Once
	bin  Binaries
	err  error
}

func slot(race bool) int {
	if race {
		return 1
	}
	return 0
}

// Build builds the programs once in each test process. Call Remove at the end,
// e.g. in TestMain.
func Build(race bool) (Binaries, error) {
	b := &builds[slot(race)]
	b.once.Do(func() { b.bin, b.err = build(race) })
	return b.bin, b.err
}

// Remove deletes what Build built.
func Remove() {
	for i := range builds {
		if dir := builds[i].bin.dir; dir != "" {
			os.RemoveAll(dir)
		}
	}
}

func build(race bool) (Binaries, error) {
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
