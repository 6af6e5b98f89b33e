package runner

import (
	"context"

	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/registrar"
)

// pace holds exports back that leave the region. The daemons of a region share what
// its exports may send to another: each takes its part, without asking the others.
func (d *Daemon) pace(ctx context.Context, to registrar.Member, c *exchanger.Call, bytes int) error {
	here, there := d.self.Site.Region(), to.Site.Region()
	s := d.snapshot.Load()
	if s == nil || here == there {
		return nil
	}
	set := s.Settings.At(c.Site, c.Service)
	if set == nil || set.Class != resolver.ClassExport || set.ExportRate == 0 {
		return nil
	}
	sharing := max(len(s.View.Region(here)), 1)
	return d.pacer.Wait(ctx, there, set.ExportRate/int64(sharing), bytes)
}
