package catalog

import "time"

// EvacuationRetention is how long a data centre stays evacuated after its entry was lost with
// the latest changes of the store. The operators write it again within that time, unless they
// had lifted the evacuation as well.
const EvacuationRetention = 10 * time.Second

// evacuation is an evacuation of a data centre that is in force.
type evacuation struct {
	// lostAt is when its entry was found to be lost; zero if the store has it.
	lostAt time.Time
}

// SetEvacuated records whether the operators have evacuated a data centre, and reports
// whether that is a change.
func (c *Catalog) SetEvacuated(dataCentre string, evacuated bool) bool {
	changed := c.Evacuated(dataCentre) != evacuated
	if !evacuated {
		delete(c.evacuated, dataCentre)
		return changed
	}
	if c.evacuated == nil {
		c.evacuated = map[string]evacuation{}
	}
	c.evacuated[dataCentre] = evacuation{}
	return changed
}

// EvacuationLost records that the store has lost the entry of an evacuation, and reports
// whether it was in force. It stays in force for EvacuationRetention, in which the operators
// write the entry again.
func (c *Catalog) EvacuationLost(now time.Time, dataCentre string) bool {
	if !c.Evacuated(dataCentre) {
		return false
	}
	c.evacuated[dataCentre] = evacuation{lostAt: now}
	return true
}

// ExpireEvacuations lifts the evacuations whose entries were lost and not written again within
// EvacuationRetention, and appends the names of their data centres to dst.
func (c *Catalog) ExpireEvacuations(now time.Time, dst []string) []string {
	for name, e := range c.evacuated {
		if !e.lostAt.IsZero() && now.Sub(e.lostAt) > EvacuationRetention {
			delete(c.evacuated, name)
			dst = append(dst, name)
		}
	}
	return dst
}

// Evacuated reports whether a data centre is evacuated.
func (c *Catalog) Evacuated(dataCentre string) bool {
	_, ok := c.evacuated[dataCentre]
	return ok
}

// AppendEvacuated appends the names of the evacuated data centres to dst.
func (c *Catalog) AppendEvacuated(dst []string) []string {
	for name := range c.evacuated {
		dst = append(dst, name)
	}
	return dst
}
