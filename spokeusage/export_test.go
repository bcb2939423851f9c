package spokeusage

import "context"

// ReportDue stores and sends the reports that are due.
func (r *Reporter) ReportDue(ctx context.Context) { r.reportDue(ctx) }
