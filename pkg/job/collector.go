package job

import "savoryhoist.example/savoryhoist/pkg/record"

// maxCollected is the most incomplete snapshots that are remembered.
const maxCollected = 8

// Collector puts the parts of snapshots together as they are read. The zero
// value has read nothing.
type Collector struct {
	open  map[string][]*record.Snapshot
	order []string
}

// Add takes in a part and returns all parts of its snapshot, in order, if it
// was the last one missing; otherwise nil.
func (c *Collector) Add(p *record.Snapshot) []*record.Snapshot {
	if p.Part >= p.Parts || p.Parts > record.MaxBatch {
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
		if q == nil || q.Covers != p.Covers {
			return nil
		}
	}
	delete(c.open, p.ID)
	return parts
}

func (c *Collector) remember(id string) {
	if c.open == nil {
		c.open = make(map[string][]*record.Snapshot)
	}
	c.order = append(c.order, id)
	if len(c.order) > maxCollected {
		delete(c.open, c.order[0])
		c.order = c.order[1:]
	}
}
