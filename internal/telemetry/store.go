package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// The results of a read of the platform's store.
const (
	ReadDirect    = "direct"
	ReadViaReader = "reader" // through another instance, which reads the store for others
	ReadFailed    = "failed"
)

// StoreRead counts a read of a feed of the platform's store. reason is why this daemon read the
// store itself, empty for a read through another instance.
func (in *Instruments) StoreRead(feed, result, reason string) {
	in.storeReads.Add(context.Background(), 1, metric.WithAttributes(attribute.String(labelFeed, feed), attribute.String(labelResult, result), attribute.String(labelReason, reason)))
}

// StoreReread counts that this daemon replaced all that it has of a feed of the platform's store.
func (in *Instruments) StoreReread(feed, reason string) {
	in.storeRereads.Add(context.Background(), 1, metric.WithAttributes(attribute.String(labelFeed, feed), attribute.String(labelReason, reason)))
}

// StoreRewritten counts n records that were appended again to a topic of the platform's store.
func (in *Instruments) StoreRewritten(topic string, n int) {
	in.storeRewritten.Add(context.Background(), int64(n), labelOption(labelTopic, topic))
}

// SetStoreEpoch sets the epoch of the platform's store, by the number that the store gives to it.
func (in *Instruments) SetStoreEpoch(number uint64) {
	in.storeEpoch.Record(context.Background(), int64(number))
}

// SetConfigurationVersion sets the version of the platform's configuration in force.
func (in *Instruments) SetConfigurationVersion(version uint64) {
	in.configurationVersion.Record(context.Background(), int64(version))
}
