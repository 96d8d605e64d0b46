package router

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/infra"
	"github.com/corianderturn/corianderturn/internal/logpos"
	"github.com/corianderturn/corianderturn/quarantine"
)

const (
	// quarantineStream is the stream of the platform's log in which daemons share records
	// of requests during which upstreams crashed.
	quarantineStream = "quarantine"
	// quarantineLongPoll is how long a read waits at the log for new records.
	quarantineLongPoll = 5 * time.Second
	// maxQuarantineRecords bounds the records returned by one read.
	maxQuarantineRecords = 512
)

// quarantineLog reads and appends to quarantineStream. It implements quarantine.Log.
type quarantineLog struct {
	log    infra.Log
	logger log.Interface
}

// Append implements quarantine.Log.
func (l quarantineLog) Append(ctx context.Context, list []quarantine.Record) error {
	records := make([][]byte, 0, len(list))
	for _, r := range list {
		raw, err := r.Pack()
		if err != nil {
			return err
		}
		records = append(records, raw)
	}
	_, err := l.log.Append(ctx, quarantineStream, records...)
	return err
}

// Read implements quarantine.Log. Records that cannot be decoded are logged and skipped.
func (l quarantineLog) Read(ctx context.Context, from logpos.Position, wait time.Duration) (list []quarantine.Record, next logpos.Position, err error) {
	reply, err := l.log.Read(ctx, quarantineStream, from.Offset, maxQuarantineRecords, wait)
	restored := (err == nil || errors.Is(err, infra.ErrTrimmed)) && logpos.EpochOf(reply.Epoch) != from.Epoch
	if errors.Is(err, infra.ErrTrimmed) || restored {
		from = logpos.Position{Epoch: logpos.EpochOf(reply.Epoch), Offset: reply.First}
		reply, err = l.log.Read(ctx, quarantineStream, from.Offset, maxQuarantineRecords, 0)
	}
	if err != nil {
		return nil, from, err
	}
	for _, record := range reply.Records {
		r, err := quarantine.Unpack(record.Data)
		if err != nil {
			l.logger.WithField("offset", record.Offset).WithError(err).Warn("skipped an unreadable quarantine record")
			continue
		}
		list = append(list, r)
	}
	from.Offset += uint64(len(reply.Records))
	return list, from, nil
}
