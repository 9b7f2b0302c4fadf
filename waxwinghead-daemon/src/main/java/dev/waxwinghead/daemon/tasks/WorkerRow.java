package dev.waxwinghead.daemon.tasks;

import dev.waxwinghead.daemon.codec.MessagePackCodec;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.RackId;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.label.Labels;
import dev.waxwinghead.model.resource.Resources;
import dev.waxwinghead.scheduling.task.WorkerSummary;
import java.io.IOException;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** Represents a worker in the operators' API. The incarnation is sent between hosts only and left out of the JSON. */
record WorkerRow(
        WorkerId worker,
        DataCentreId dataCentre,
        RackId rack,
        Resources capacity,
        Resources committed,
        Labels labels,
        String state,
        long lastHeardAgoMillis,
        @com.fasterxml.jackson.annotation.JsonIgnore long incarnation) {
    static WorkerRow of(WorkerSummary worker, long now) {
        return new WorkerRow(
                worker.description().id(),
                worker.description().dataCentre(),
                worker.description().rack(),
                worker.description().capacity(),
                worker.committed(),
                worker.description().labels(),
                worker.state().name().toLowerCase(Locale.ROOT),
                TimeUnit.NANOSECONDS.toMillis(now - worker.lastPollNanos()),
                worker.incarnation());
    }

    static void write(MessageBufferPacker packer, WorkerRow row) throws IOException {
        packer.packString(row.worker.value()).packString(row.dataCentre.value()).packString(row.rack.value());
        MessagePackCodec.resources(packer, row.capacity);
        MessagePackCodec.resources(packer, row.committed);
        CapacityReport.labels(packer, row.labels);
        packer.packString(row.state).packLong(row.lastHeardAgoMillis).packLong(row.incarnation);
    }

    static WorkerRow read(MessageUnpacker unpacker) throws IOException {
        return new WorkerRow(
                WorkerId.of(unpacker.unpackString()),
                DataCentreId.of(unpacker.unpackString()),
                RackId.of(unpacker.unpackString()),
                MessagePackCodec.resources(unpacker),
                MessagePackCodec.resources(unpacker),
                CapacityReport.labels(unpacker),
                unpacker.unpackString(),
                unpacker.unpackLong(),
                unpacker.unpackLong());
    }
}
