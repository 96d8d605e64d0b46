package loadgen

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteTable writes the report as a human-readable table, followed by errors, faults and the
// summary line.
func (r *Report) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "group\toffered\tgood\tgood/s\tstrict\tfirst p50\tp95\tp99\tbetween p50\tp95\tp99\toutcomes\n")
	rows := append([]Section{r.All, r.Steady}, r.Classes...)
	for _, s := range append(rows, r.Kinds...) {
		writeSection(w, s)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, k := range r.Refusals {
		_, _ = fmt.Fprintf(out, "error %s (%s): %d\n", k.Kind, k.Run, k.Count)
	}
	for _, f := range r.Faults {
		_, _ = fmt.Fprintf(out, "FAULT %s %s %s at %s: %s\n", f.Outcome, f.Kind, f.Key, f.Target, f.Detail)
	}
	if r.Ledger != nil {
		_, _ = fmt.Fprintf(out, "keys %d, ran twice %d, ran though told not-run %d, answered and never ran %d\n",
			r.Ledger.Keys, r.Ledger.Doubled, r.Ledger.ExecutedDespiteNotRun, r.Ledger.Missing)
		for _, d := range r.Ledger.Details {
			_, _ = fmt.Fprintf(out, "FAULT ledger %s\n", d)
		}
	}
	_, err := fmt.Fprintln(out, r.Summary())
	return err
}

// writeSection writes one row of the table.
func writeSection(w io.Writer, s Section) {
	_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%.1f\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t", s.Name, s.Offered, s.Good, s.Goodput,
		s.GoodStrict, s.FirstToken.P50, s.FirstToken.P95, s.FirstToken.P99,
		s.BetweenTokens.P50, s.BetweenTokens.P95, s.BetweenTokens.P99)
	for i, o := range s.Outcomes {
		if i > 0 {
			_, _ = fmt.Fprint(w, ", ")
		}
		_, _ = fmt.Fprintf(w, "%s %d", o.Outcome, o.Count)
	}
	_, _ = fmt.Fprintln(w)
}

// Summary returns the counts of the run in one line.
func (r *Report) Summary() string {
	sent := r.All.Offered - r.All.Count(Dropped)
	return fmt.Sprintf("loadgen: sent %d answered %d refused %d broken %d cancelled %d severed %d dropped %d lost %d doubled %d",
		sent, r.All.Count(Answered), r.All.Count(Refused), r.All.Count(Broken), r.All.Count(Cancelled),
		r.All.Count(Severed), r.All.Count(Dropped), r.Lost(), r.Doubled())
}
