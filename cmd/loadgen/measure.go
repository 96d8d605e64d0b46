package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/corianderturn/corianderturn/internal/experiment"
)

// measureCmd implements the command `loadgen measure`.
type measureCmd struct {
	Bin         string        `help:"Directory of the compiled programs." default:"bin" type:"existingdir"`
	Out         string        `help:"Output directory for the report, its charts and the raw data." default:"out/measure" type:"path"`
	Runs        int           `help:"Number of repetitions of each combination of deployment, load, fault and policy." default:"1"`
	Seed        uint64        `help:"Seed of arrivals and requests; repetition N uses seed+N." default:"1"`
	Segment     time.Duration `help:"Duration of the measurement of one policy under one load." default:"3s"`
	Warmup      time.Duration `help:"Warm-up before each measurement." default:"2s"`
	Timeout     time.Duration `help:"Deadline of one request." default:"20s"`
	MaxInFlight int           `help:"Maximum number of concurrent requests." default:"3000"`
	Scale       float64       `help:"Factor by which the engines' processing times and the latency targets are divided." default:"2"`
	Firm        []string      `help:"Deployments to measure; all when empty."`
}

// Run is called by kong to run the command.
func (c *measureCmd) Run(ctx context.Context) error {
	res, err := experiment.Measure(ctx, experiment.MeasureOptions{
		Bin: c.Bin, Out: c.Out, Runs: c.Runs, Seed: c.Seed, Segment: c.Segment, Warmup: c.Warmup, Timeout: c.Timeout,
		MaxInFlight: c.MaxInFlight, Scale: c.Scale, Deployments: c.Firm, Start: experiment.StartTestbed, Progress: os.Stdout,
	})
	if err != nil {
		return err
	}
	fmt.Printf("report: %s/%s, %d segments in %s\n", c.Out, experiment.FileReport, len(res.Samples), res.Took.Round(time.Second))
	for _, v := range res.Verdicts {
		fmt.Printf("%s: %s\n", v.Deployment, v)
	}
	fmt.Println(res.Verdict())
	return ctx.Err()
}

// plotCmd implements the command `loadgen plot`.
type plotCmd struct {
	Out string `help:"Directory with the raw data of a measurement." default:"out/measure" type:"existingdir"`
}

// Run is called by kong to run the command.
func (c *plotCmd) Run() error {
	res, err := experiment.ReadResults(c.Out)
	if err != nil {
		return err
	}
	return res.Render(c.Out)
}

// slopesCmd implements the command `loadgen slopes`.
type slopesCmd struct {
	Bin    string        `help:"Directory of the compiled programs." default:"bin" type:"existingdir"`
	Out    string        `help:"Output directory for the table and the raw data." default:"out/slopes" type:"path"`
	Settle time.Duration `help:"Warm-up before the measurement of each point." default:"2s"`
	Window time.Duration `help:"Duration of the measurement of each point." default:"6s"`
	Seed   uint64        `help:"Seed of arrivals and requests." default:"1"`
	Size   []string      `help:"Size parameters to vary; all when empty."`
}

// Run is called by kong to run the command.
func (c *slopesCmd) Run(ctx context.Context) error {
	res, err := experiment.Slopes(ctx, experiment.SlopesOptions{
		Bin: c.Bin, Out: c.Out, Settle: c.Settle, Window: c.Window, Seed: c.Seed, Sizes: c.Size,
		Start: experiment.StartTestbed, Progress: os.Stdout,
	})
	if err != nil {
		return err
	}
	fmt.Printf("slopes: %d sizes in %s, raw figures in %s/%s\n", len(res.Sizes), res.Took.Round(time.Second), c.Out, experiment.FileSlopes)
	return ctx.Err()
}
