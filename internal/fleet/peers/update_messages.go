package peers

import (
	"encoding/base64"
	"time"

	"github.com/pkg/errors"

	"fescuerill/internal/fleet/feed"
	"fescuerill/internal/schema/fleet"
)

func decodeUpdateRequest(m fleet.UpdateRequest) feed.Request {
	r := feed.Request{Full: m.Whole, AnyEra: m.Era == nil}
	era := 0
	if m.Era != nil {
		era = *m.Era
	}
	r.After = feed.At(int64(era), int64(m.Revision))
	return r
}

func encodeUpdate(now time.Time, update feed.Update) fleet.UpdateReply {
	era := int(update.Position.Era())
	out := fleet.UpdateReply{
		Revision: int(update.Position.Revision()), Era: &era, Whole: update.Full, AgeMs: int(update.Age.Milliseconds()), Items: []fleet.StoreItem{},
	}
	if !update.LastOutage.IsZero() {
		ms := int(now.Sub(update.LastOutage).Milliseconds())
		out.TroubleMs = &ms
	}
	for _, i := range update.Items {
		item := fleet.StoreItem{Key: i.Key, Revision: int(i.Revision)}
		if i.Deleted {
			item.Gone = &i.Deleted
		} else {
			text := base64.StdEncoding.EncodeToString(i.Value)
			item.Value = &text
		}
		out.Items = append(out.Items, item)
	}
	return out
}

func decodeUpdate(now time.Time, m fleet.UpdateReply) (feed.Update, error) {
	if err := unpackItems(&m); err != nil {
		return feed.Update{}, err
	}
	update := feed.Update{Position: position(m), Full: m.Whole, Age: milliseconds(m.AgeMs)}
	if m.TroubleMs != nil {
		update.LastOutage = now.Add(-milliseconds(*m.TroubleMs))
	}
	for _, i := range m.Items {
		item := feed.Item{Key: i.Key, Revision: int64(i.Revision), Deleted: i.Gone != nil && *i.Gone}
		if i.Value != nil {
			value, err := base64.StdEncoding.DecodeString(*i.Value)
			if err != nil {
				return update, errors.Wrapf(err, "decode value of item %s", i.Key)
			}
			item.Value = value
		}
		update.Items = append(update.Items, item)
	}
	return update, nil
}

// position returns the position up to which a host knows all changes. The era of a host that
// knows of none is 0, so that its items replace none of a known era.
func position(m fleet.UpdateReply) feed.Position {
	era := 0
	if m.Era != nil {
		era = *m.Era
	}
	return feed.At(int64(era), int64(m.Revision))
}
