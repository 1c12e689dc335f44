package job

import "savoryhoist.example/savoryhoist/pkg/record"

// maxIncompleteSnapshots limits the number of incomplete snapshots that are kept.
const maxIncompleteSnapshots = 8

// SnapshotAssembler assembles snapshots from their parts as these are read from the
// stream. The zero value is ready for use.
type SnapshotAssembler struct {
	// open holds the parts of incomplete snapshots by snapshot id; missing parts are
	// nil.
	open map[string][]*record.Snapshot
	// order holds the ids of snapshots in the order in which their first parts
	// were added. It may still contain completed snapshots.
	order []string
}

// Add adds a part. If the part completes its snapshot, Add returns all parts of
// the snapshot in order; otherwise it returns nil.
func (c *SnapshotAssembler) Add(p *record.Snapshot) []*record.Snapshot {
	if p.Part >= p.Parts || p.Parts > record.MaxBatchRecords {
		return nil
	}
	parts, ok := c.open[p.ID]
	if !ok {
		parts = make([]*record.Snapshot, p.Parts)
		c.remember(p.ID)
	}
	if len(parts) != int(p.Parts) {
		return nil
	}
	parts[p.Part] = p
	c.open[p.ID] = parts
	for _, q := range parts {
		if q == nil || q.EndOffset != p.EndOffset {
			return nil
		}
	}
	delete(c.open, p.ID)
	return parts
}

// remember notes a new snapshot and drops the oldest one if there are too many.
func (c *SnapshotAssembler) remember(id string) {
	if c.open == nil {
		c.open = make(map[string][]*record.Snapshot)
	}
	c.order = append(c.order, id)
	if len(c.order) > maxIncompleteSnapshots {
		delete(c.open, c.order[0])
		c.order = c.order[1:]
	}
}
