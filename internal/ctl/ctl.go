// Package ctl implements corianderctl, the operators' command-line tool: its commands,
// their flags and their output. The tool calls the log service, the platform's store and
// the daemons' administration listeners. It evaluates bundle records with the same code as
// the daemons, bundle.Chain.
package ctl

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
)

// Exit codes.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that the command failed, that another operator's record was
	// adopted first, or that the outcome is unknown.
	ExitFailed = 1
	// ExitUsage means that the command line is invalid.
	ExitUsage = 2

	// ExitWarnings and ExitErrors mean that the command check has only warnings, or errors.
	// ExitUnread means that it could not read all of its input.
	ExitWarnings = 1
	ExitErrors   = 2
	ExitUnread   = 3
)

// Env holds the dependencies of the commands. Stdout and Stderr are required.
type Env struct {
	Stdout, Stderr io.Writer
	// Clock returns the current time, for example for the creation time of drafts; nil
	// means time.Now.
	Clock func() time.Time
	// HTTP is the client for calls to the log, the store and the daemons; nil means a new
	// client.
	HTTP *http.Client
}

// cli defines the command line for kong: global flags and commands.
type cli struct {
	Timeout time.Duration `help:"Timeout of the whole command." default:"30s"`

	Check      configCheckCmd `cmd:"" help:"Check a configuration before it is sent: errors, entries without effect, contradictions, and what differs from the version in force. Exit codes: 0 no findings, 1 warnings only, 2 errors or an invalid command line, 3 if a file or the store could not be read."`
	Keygen     keygenCmd      `cmd:"" help:"Generate a signing key."`
	Bundle     bundleCmd      `cmd:"" help:"Check, draft, sign and publish bundles."`
	Explain    explainCmd     `cmd:"" help:"Show what was logged about one request, from the logs of all instances."`
	Account    accountCmd     `cmd:"" help:"Count requests by class, outcome and reason from the logs of all instances, and compare predictions with measured values."`
	Requests   requestsCmd    `cmd:"" help:"List requests in flight."`
	Quarantine quarantineCmd  `cmd:"" help:"List the requests and parts of prompts that have crashed upstreams, as recorded in the platform's store, or remove one from quarantine."`
	Upstreams  upstreamsCmd   `cmd:"" help:"List upstreams as the daemons see them."`
	TeamKey    teamKeyCmd     `cmd:"" help:"Generate a bearer key for a team; prints the key and its digest for the bundle."`
}

// bundleCmd defines the subcommands of bundle.
type bundleCmd struct {
	New     newCmd     `cmd:"" help:"Write a starter bundle file."`
	Check   checkCmd   `cmd:"" help:"Check a bundle file."`
	Diff    diffCmd    `cmd:"" help:"Show the differences between two bundles."`
	Draft   draftCmd   `cmd:"" help:"Create a draft: a record that changes the version in force into a bundle file, signed by its author."`
	Sign    signCmd    `cmd:"" help:"Review a draft and add the reviewer's signature."`
	Publish publishCmd `cmd:"" help:"Append a signed record to the log and wait until it is adopted or rejected."`
	Status  statusCmd  `cmd:"" help:"Show which version is in force in each data centre."`
}

// runEnv is the argument of the commands' Run methods, bound by kong.
type runEnv struct {
	Env
	ctx context.Context // ends at the command's timeout
}

func (e *runEnv) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(e.Stdout, format, args...)
}

// Main runs one command line and returns the exit code.
func Main(ctx context.Context, args []string, env Env) int {
	if env.Clock == nil {
		env.Clock = time.Now
	}
	if env.HTTP == nil {
		env.HTTP = &http.Client{}
	}
	var c cli
	kongExit := -1
	parser, err := newParser(&c, kong.Writers(env.Stdout, env.Stderr),
		kong.Exit(func(code int) { kongExit = code }))
	if err != nil {
		return printError(env.Stderr, err, ExitUsage)
	}
	parsed, err := parser.Parse(args)
	if kongExit == 0 {
		return ExitOK // kong has printed the help
	}
	if err != nil {
		return printError(env.Stderr, err, ExitUsage)
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	if err := parsed.Run(&runEnv{Env: env, ctx: ctx}); err != nil {
		return printError(env.Stderr, err, exitCode(err))
	}
	return ExitOK
}

// newParser returns the parser for c.
func newParser(c *cli, extra ...kong.Option) (*kong.Kong, error) {
	options := []kong.Option{
		kong.Name("corianderctl"),
		kong.Description("Command-line tool for operators of corianderturn."),
		kong.Vars{"stream": defaultStream},
	}
	return kong.New(c, append(options, extra...)...)
}

// Model returns kong's model of the command line, from which the reference page is
// generated.
func Model() (*kong.Application, error) {
	parser, err := newParser(&cli{})
	if err != nil {
		return nil, errors.Wrap(err, "corianderctl")
	}
	return parser.Model, nil
}

// usageError is an error in the command line that kong does not detect. It leads to
// ExitUsage.
type usageError struct{ error }

// codeError is an error with an exit code of its own.
type codeError struct {
	error
	code int
}

// exitCode returns the exit code for the error of a command.
func exitCode(err error) int {
	var code codeError
	if errors.As(err, &code) {
		return code.code
	}
	var usage usageError
	if errors.As(err, &usage) {
		return ExitUsage
	}
	return ExitFailed
}

// printError prints an error and returns code.
func printError(w io.Writer, err error, code int) int {
	_, _ = fmt.Fprintf(w, "corianderctl: %v\n", err)
	return code
}
