package runner

import (
	"context"

	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/registrar"
)

// paceExport limits the rate of exports to another region. The daemons of a region
// share its export rate equally, without coordination.
func (d *Daemon) paceExport(ctx context.Context, to registrar.Member, c *exchanger.Call, bytes int) error {
	region, target := d.self.Site.Region(), to.Site.Region()
	s := d.snapshot.Load()
	if s == nil || region == target {
		return nil
	}
	set := s.Settings.At(c.Site, c.Service)
	if set == nil || set.Class != resolver.ClassExport || set.ExportRate == 0 {
		return nil
	}
	daemons := max(len(s.View.Region(region)), 1)
	return d.pacer.Wait(ctx, target, set.ExportRate/int64(daemons), bytes)
}
