package dev.waxwinghead.daemon.tasks;

import dev.waxwinghead.daemon.codec.MessagePackCodec;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.label.Labels;
import dev.waxwinghead.model.resource.Resources;
import dev.waxwinghead.scheduling.task.WorkerSummary;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Summarizes the workers of one data centre by groups of equal labels and capacity.
 *
 * @param dataCentre the data centre
 * @param term the term of the reporting scheduler
 * @param groups the groups of alike workers; lost workers are excluded
 */
record CapacityReport(DataCentreId dataCentre, long term, List<Group> groups) {
    /**
     * Summarizes the workers with equal labels and capacity.
     *
     * @param labels the labels of each worker
     * @param capacity the total capacity of each worker
     * @param workers the number of workers
     * @param ready the number of workers that accept tasks
     * @param free the sum of free resources on the workers that accept tasks
     */
    record Group(Labels labels, Resources capacity, int workers, int ready, Resources free) {
        Group plus(WorkerSummary worker) {
            boolean acceptsTasks = worker.state() == WorkerSummary.State.READY;
            return new Group(
                    labels,
                    capacity,
                    workers + 1,
                    acceptsTasks ? ready + 1 : ready,
                    acceptsTasks ? free.plus(freeOn(worker)) : free);
        }

        private static Resources freeOn(WorkerSummary worker) {
            Resources capacity = worker.description().capacity();
            return worker.committed().fitsIn(capacity) ? capacity.minus(worker.committed()) : Resources.NONE;
        }
    }

    private record GroupKey(Labels labels, Resources capacity) {}

    static CapacityReport of(DataCentreId dataCentre, long term, List<WorkerSummary> workers) {
        Map<GroupKey, Group> groups = new LinkedHashMap<>();
        for (WorkerSummary worker : workers) {
            Labels labels = worker.description().labels();
            Resources capacity = worker.description().capacity();
            if (worker.state() != WorkerSummary.State.LOST) {
                groups.merge(
                        new GroupKey(labels, capacity),
                        new Group(labels, capacity, 0, 0, Resources.NONE).plus(worker),
                        (group, single) -> group.plus(worker));
            }
        }
        return new CapacityReport(dataCentre, term, new ArrayList<>(groups.values()));
    }

    static void write(MessageBufferPacker packer, CapacityReport report) throws IOException {
        packer.packString(report.dataCentre.value()).packLong(report.term);
        MessagePackCodec.list(packer, report.groups, (to, group) -> {
            labels(to, group.labels);
            MessagePackCodec.resources(to, group.capacity);
            to.packInt(group.workers).packInt(group.ready);
            MessagePackCodec.resources(to, group.free);
        });
    }

    static CapacityReport read(MessageUnpacker unpacker) throws IOException {
        return new CapacityReport(
                DataCentreId.of(unpacker.unpackString()),
                unpacker.unpackLong(),
                MessagePackCodec.list(
                        unpacker,
                        from -> new Group(
                                labels(from),
                                MessagePackCodec.resources(from),
                                from.unpackInt(),
                                from.unpackInt(),
                                MessagePackCodec.resources(from))));
    }

    static void labels(MessageBufferPacker packer, Labels labels) throws IOException {
        packer.packMapHeader(labels.values().size());
        for (Map.Entry<String, String> label : labels.values().entrySet()) {
            packer.packString(label.getKey()).packString(label.getValue());
        }
    }

    static Labels labels(MessageUnpacker unpacker) throws IOException {
        Map<String, String> values = new LinkedHashMap<>();
        for (int remaining = unpacker.unpackMapHeader(); remaining > 0; remaining--) {
            values.put(unpacker.unpackString(), unpacker.unpackString());
        }
        return Labels.of(values);
    }
}
