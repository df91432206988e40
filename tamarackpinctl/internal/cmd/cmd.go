// Package cmd is the command line of the operators' command.
package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/tamarackpinctl/internal/operator"
)

// Exit codes. docs/OPERATORS.md lists them.
const (
	exitOK          = 0
	exitFault       = 1
	exitUsage       = 2
	exitRefused     = 3
	exitUnreachable = 4
	exitUnsure      = 5
)

// shared are the options of every subcommand.
type shared struct {
	Address        string `long:"address" short:"a" env:"TAMARACKPIN_ADDRESS" value-name:"IP:PORT" description:"Operators' address of any entry VM; of a control VM for evacuation begin and finish. Needed by every command but table check."`
	Credential     string `long:"credential" env:"TAMARACKPIN_CREDENTIAL" description:"The operators' credential; better given in the environment or a file."`
	CredentialFile string `long:"credential-file" value-name:"FILE" description:"File with the operators' credential."`
	CAFile         string `long:"ca-file" value-name:"FILE" description:"PEM file with the authority of the entry VM's certificate; switches TLS on."`
	JSON           bool   `long:"json" description:"Print JSON for machines in place of aligned text."`

	stdout, stderr io.Writer
}

// options are the subcommands.
type options struct {
	Shared  shared         `group:"Options"`
	Table   tableCommand   `command:"table" description:"Read and change the table of weights and limits."`
	Report  reportCommand  `command:"report" description:"Print the merged report of all entry VMs."`
	Status  statusCommand  `command:"status" description:"Print the state of an entry VM and of what it knows."`
	Targets targetsCommand `command:"targets" description:"Print the live targets that an entry VM knows."`
	Drain   drainCommand   `command:"drain" description:"Shut an entry VM down gracefully."`

	Evacuation   evacuationCommand   `command:"evacuation" description:"Evacuate a failure domain of workers, or return it to service."`
	Interference interferenceCommand `command:"interference" description:"Print the pairs of rows that slow each other down on a worker."`
}

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var o options
	o.Shared.stdout, o.Shared.stderr = stdout, stderr
	o.Table.Get.shared, o.Table.Check.shared, o.Table.Put.shared, o.Table.History.shared = &o.Shared, &o.Shared, &o.Shared, &o.Shared
	o.Report.shared, o.Status.shared, o.Targets.shared, o.Drain.shared = &o.Shared, &o.Shared, &o.Shared, &o.Shared
	o.Evacuation.Begin.shared, o.Evacuation.Finish.shared, o.Evacuation.Status.shared, o.Interference.shared = &o.Shared, &o.Shared, &o.Shared, &o.Shared
	p := flags.NewNamedParser("tamarackpinctl", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "The operators' command for tamarackpin. Exit codes: 0 done, 1 fault, 2 wrong arguments or file, 3 refused, 4 entry VM not reached, 5 outcome unsure (send the same change id, or the order, again)."
	if _, err := p.AddGroup("Options", "", &o); err != nil {
		fmt.Fprintln(stderr, err)
		return exitFault
	}
	_, err := p.ParseArgs(args)
	return finish(err, stdout, stderr)
}

// finish prints err and returns the exit code that it stands for.
func finish(err error, stdout, stderr io.Writer) int {
	var usage *flags.Error
	var refusal *code.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(stdout, usage.Message)
		return exitOK
	}
	fmt.Fprintln(stderr, err)
	switch {
	case errors.As(err, &usage) || errors.Is(err, errUsage):
		return exitUsage
	case errors.As(err, &refusal) && refusal.Outcome == code.MayHaveRun, errors.Is(err, operator.ErrUnsure):
		return exitUnsure
	case errors.As(err, &refusal):
		return exitRefused
	case errors.Is(err, operator.ErrUnreachable):
		return exitUnreachable
	}
	return exitFault
}

// errUsage marks wrong arguments and files.
var errUsage = errors.New("wrong arguments")

func (s *shared) client() (*operator.Client, error) {
	if s.Address == "" {
		return nil, errors.Mark(errors.New("no address: give --address or TAMARACKPIN_ADDRESS"), errUsage)
	}
	credential := s.Credential
	if s.CredentialFile != "" {
		b, err := os.ReadFile(s.CredentialFile)
		if err != nil {
			return nil, errors.Mark(errors.Wrap(err, "reading the credential"), errUsage)
		}
		credential = strings.TrimSpace(string(b))
	}
	if credential == "" {
		return nil, errors.Mark(errors.New("no credential: give --credential-file or TAMARACKPIN_CREDENTIAL"), errUsage)
	}
	c, err := operator.New(s.Address, credential, s.CAFile)
	return c, errors.Mark(err, errUsage)
}

// printJSON prints the reply to a GET of path as it came.
func (s *shared) printJSON(path string) error {
	c, err := s.client()
	if err != nil {
		return err
	}
	b, err := c.Raw(context.Background(), http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	_, err = s.stdout.Write(b)
	return errors.Wrap(err, "printing")
}

// print prints v as JSON.
func (s *shared) print(v any) error {
	return errors.Wrap(json.NewEncoder(s.stdout).Encode(v), "printing")
}
