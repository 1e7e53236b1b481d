package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/limpettrail/limpettrail/core/config"
	"github.com/limpettrail/limpettrail/internal/operator"
	"github.com/limpettrail/limpettrail/platformlog"
)

const statusTimeout = 5 * time.Second

type configArgs struct {
	Apply   *configFile   `arg:"subcommand:apply" help:"publish the classes and teams of a TOML file"`
	Diff    *configFile   `arg:"subcommand:diff" help:"say what apply would change"`
	List    *configList   `arg:"subcommand:list" help:"print everything that is published, as input for apply"`
	Get     *configItem   `arg:"subcommand:get" help:"print one class or team, as input for apply"`
	History *configItem   `arg:"subcommand:history" help:"print the retained changes of one class or team"`
	Delete  *configItem   `arg:"subcommand:delete" help:"withdraw one class or team"`
	Outcome *configID     `arg:"subcommand:outcome" help:"say what became of a change whose outcome was unknown"`
	Status  *configStatus `arg:"subcommand:status" help:"show which version each process has in force"`
	Log     string        `arg:"--log,env:LIMPETTRAIL_LOG_URL" help:"URL of the platform's log"`
	Timeout time.Duration `default:"10s" help:"bound of the whole command"`
}

type configFile struct {
	File   string `arg:"positional,required" help:"TOML file, - for standard input"`
	DryRun bool   `arg:"--dry-run" help:"check and compare, send nothing"`
}

type configList struct{}

type configItem struct {
	Kind     string `arg:"positional,required" help:"class, team or emphasis"`
	Name     string `arg:"positional" help:"name of the class or team"`
	Revision int64  `help:"with delete: the revision that is meant; 0 is the current one"`
	DryRun   bool   `arg:"--dry-run" help:"with delete: send nothing"`
}

type configID struct {
	ID string `arg:"positional,required" help:"identifier that the unknown outcome named"`
}

type configStatus struct {
	Address []string `arg:"positional,required" help:"operators' addresses, IP:port (https with --cert or --ca) or a URL"`
	tlsArgs
}

// example returns the command line that the help text shows.
func (*configArgs) example() string {
	return "limpettrail config --log http://127.0.0.1:9400 apply deploy/classes.toml"
}

func (a *configArgs) run(stdout, stderr io.Writer) int {
	if a.Status != nil {
		return a.Status.run(stdout, stderr)
	}
	if a.Log == "" {
		fmt.Fprintln(stderr, "error: set --log or LIMPETTRAIL_LOG_URL to the URL of the platform's log")
		return ExitUsage
	}
	log := platformlog.NewClient(platformlog.ClientOptions{BaseURL: strings.TrimSuffix(a.Log, "/")})
	defer log.Close()
	result, err := a.execute(&operator.Client{Log: log, Out: stdout, Timeout: a.Timeout})
	if err != nil {
		fmt.Fprintln(stderr, "error:", err)
		return ExitUsage
	}
	return result.ExitCode()
}

func (a *configArgs) execute(c *operator.Client) (operator.Result, error) {
	ctx := context.Background()
	switch {
	case a.Apply != nil:
		data, err := a.Apply.read()
		if err != nil {
			return operator.Result{}, err
		}
		return c.Apply(ctx, a.Apply.File, data, a.Apply.DryRun), nil
	case a.Diff != nil:
		data, err := a.Diff.read()
		if err != nil {
			return operator.Result{}, err
		}
		return c.Diff(ctx, a.Diff.File, data), nil
	case a.List != nil:
		return c.List(ctx), nil
	case a.Outcome != nil:
		id, err := platformlog.ParseRecordID(a.Outcome.ID)
		if err != nil {
			return operator.Result{}, err
		}
		return c.Outcome(ctx, id), nil
	}
	return a.executeItem(ctx, c)
}

func (a *configArgs) executeItem(ctx context.Context, c *operator.Client) (operator.Result, error) {
	for _, item := range []*configItem{a.Get, a.History, a.Delete} {
		if item == nil {
			continue
		}
		key, err := item.key()
		switch {
		case err != nil:
			return operator.Result{}, err
		case item == a.Get:
			return c.Get(ctx, key), nil
		case item == a.History:
			return c.History(ctx, key), nil
		}
		return c.Delete(ctx, key, item.Revision, item.DryRun), nil
	}
	return operator.Result{}, fmt.Errorf("config needs one of apply, diff, list, get, history, delete, outcome, status")
}

func (f *configFile) read() ([]byte, error) {
	if f.File == "-" {
		return io.ReadAll(io.LimitReader(os.Stdin, operator.MaxFileBytes+1))
	}
	return os.ReadFile(f.File)
}

func (i *configItem) key() (config.Key, error) {
	for _, kind := range []config.Kind{config.KindClass, config.KindTeam, config.KindEmphasis} {
		if kind.String() == i.Kind {
			return config.Key{Kind: kind, Name: i.Name}, nil
		}
	}
	return config.Key{}, fmt.Errorf("kind %q: want class, team or emphasis", i.Kind)
}

// processStatus is the part of a /status reply that config status prints.
type processStatus struct {
	Name          string `json:"name"`
	Incarnation   string `json:"incarnation"`
	ConfigVersion int64  `json:"config_version"`
	Ready         bool   `json:"ready"`
}

// run prints a row for each process. It fails if a process is unreachable or the
// versions differ.
func (s *configStatus) run(stdout, stderr io.Writer) int {
	client, err := s.httpClient()
	if err != nil {
		fmt.Fprintln(stderr, "error:", err)
		return ExitFailed
	}
	t := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "ADDRESS\tPROCESS\tVERSION\tREADY")
	versions := make(map[int64]bool)
	code := ExitOK
	for _, addr := range s.Address {
		p, err := fetchStatus(client, s.withScheme(addr))
		if err != nil {
			fmt.Fprintf(t, "%s\tunreachable: %v\t\t\n", addr, err)
			code = ExitFailed
			continue
		}
		versions[p.ConfigVersion] = true
		fmt.Fprintf(t, "%s\t%s\t%d\t%t\n", addr, p.Name, p.ConfigVersion, p.Ready)
	}
	t.Flush()
	if len(versions) > 1 {
		fmt.Fprintln(stdout, "the configuration versions of the processes differ")
		code = ExitFailed
	}
	return code
}

func fetchStatus(client *http.Client, addr string) (processStatus, error) {
	var p processStatus
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, addr+"/status", nil)
	if err != nil {
		return p, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return p, err
	}
	defer resp.Body.Close()
	return p, json.NewDecoder(resp.Body).Decode(&p)
}
