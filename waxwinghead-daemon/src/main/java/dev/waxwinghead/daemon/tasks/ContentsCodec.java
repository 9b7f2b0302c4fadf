package dev.waxwinghead.daemon.tasks;

import dev.waxwinghead.daemon.codec.MessagePackCodec;
import dev.waxwinghead.model.id.ChangeId;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.manifest.ManifestKey;
import dev.waxwinghead.scheduling.task.Attempt;
import dev.waxwinghead.scheduling.task.DrainChange;
import dev.waxwinghead.scheduling.task.OwnerRecord;
import dev.waxwinghead.scheduling.task.SchedulerTerm;
import dev.waxwinghead.scheduling.task.TableContents;
import dev.waxwinghead.scheduling.task.TaskRecord;
import dev.waxwinghead.scheduling.task.TaskState;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes the contents of the task table as MessagePack. */
final class ContentsCodec {
    private ContentsCodec() {}

    static byte[] write(TableContents contents) {
        return MessagePackCodec.pack(packer -> {
            packer.packLong(contents.configurationRevision());
            MessagePackCodec.list(packer, contents.owners(), ContentsCodec::owner);
            MessagePackCodec.list(packer, contents.tasks(), ContentsCodec::task);
            MessagePackCodec.list(packer, contents.schedulers(), ContentsCodec::scheduler);
            packer.packMapHeader(contents.draining().size());
            for (Map.Entry<WorkerId, Long> entry : contents.draining().entrySet()) {
                packer.packString(entry.getKey().value()).packLong(entry.getValue());
            }
            packer.packMapHeader(contents.attemptFloors().size());
            for (Map.Entry<ManifestKey, Integer> entry :
                    contents.attemptFloors().entrySet()) {
                CommandCodec.key(packer, entry.getKey());
                packer.packInt(entry.getValue());
            }
            packer.packInt(contents.attemptFloor());
            packer.packMapHeader(contents.drainedDataCentres().size());
            for (Map.Entry<DataCentreId, Long> entry :
                    contents.drainedDataCentres().entrySet()) {
                packer.packString(entry.getKey().value()).packLong(entry.getValue());
            }
            MessagePackCodec.list(packer, contents.drainChanges(), ContentsCodec::drainChange);
        });
    }

    static TableContents read(byte[] bytes) {
        return MessagePackCodec.unpack(bytes, unpacker -> {
            long revision = unpacker.unpackLong();
            List<OwnerRecord> owners = MessagePackCodec.list(unpacker, ContentsCodec::owner);
            List<TaskRecord> tasks = MessagePackCodec.list(unpacker, ContentsCodec::task);
            List<SchedulerTerm> schedulers = MessagePackCodec.list(unpacker, ContentsCodec::scheduler);
            Map<WorkerId, Long> draining = new LinkedHashMap<>();
            for (int remaining = unpacker.unpackMapHeader(); remaining > 0; remaining--) {
                draining.put(WorkerId.of(unpacker.unpackString()), unpacker.unpackLong());
            }
            Map<ManifestKey, Integer> floors = new LinkedHashMap<>();
            for (int remaining = unpacker.unpackMapHeader(); remaining > 0; remaining--) {
                floors.put(CommandCodec.key(unpacker), unpacker.unpackInt());
            }
            int attemptFloor = unpacker.unpackInt();
            Map<DataCentreId, Long> drained = new LinkedHashMap<>();
            List<DrainChange> changes = List.of();
            // Snapshots of earlier versions end here.
            if (unpacker.hasNext()) {
                for (int remaining = unpacker.unpackMapHeader(); remaining > 0; remaining--) {
                    drained.put(DataCentreId.of(unpacker.unpackString()), unpacker.unpackLong());
                }
                changes = MessagePackCodec.list(unpacker, ContentsCodec::drainChange);
            }
            return new TableContents(
                    revision, tasks, owners, schedulers, draining, floors, attemptFloor, drained, changes);
        });
    }

    private static void drainChange(MessageBufferPacker packer, DrainChange change) throws IOException {
        packer.packString(change.change().value());
        packer.packString(change.dataCentre().value()).packBoolean(change.drained());
        packer.packLong(change.index());
    }

    private static DrainChange drainChange(MessageUnpacker unpacker) throws IOException {
        return new DrainChange(
                ChangeId.of(unpacker.unpackString()),
                DataCentreId.of(unpacker.unpackString()),
                unpacker.unpackBoolean(),
                unpacker.unpackLong());
    }

    private static void owner(MessageBufferPacker packer, OwnerRecord owner) throws IOException {
        CommandCodec.key(packer, owner.key());
        packer.packLong(owner.revision()).packLong(owner.templateRevision());
        packer.packString(CommandCodec.json(owner.manifest()));
        packer.packInt(owner.created()).packInt(owner.open());
        packer.packString(owner.status().name()).packBoolean(owner.deleted());
        MessagePackCodec.optional(packer, owner.reason());
    }

    private static OwnerRecord owner(MessageUnpacker unpacker) throws IOException {
        return new OwnerRecord(
                CommandCodec.key(unpacker),
                unpacker.unpackLong(),
                unpacker.unpackLong(),
                CommandCodec.manifest(unpacker),
                unpacker.unpackInt(),
                unpacker.unpackInt(),
                OwnerRecord.Status.valueOf(unpacker.unpackString()),
                unpacker.unpackBoolean(),
                MessagePackCodec.optional(unpacker));
    }

    private static void task(MessageBufferPacker packer, TaskRecord task) throws IOException {
        packer.packString(task.id().value());
        CommandCodec.key(packer, task.owner());
        packer.packString(task.state().name());
        MessagePackCodec.optional(packer, task.dataCentre());
        packer.packInt(task.attempts());
        if (task.attempt() == null) {
            packer.packNil();
        } else {
            Attempt attempt = task.attempt();
            packer.packInt(attempt.number()).packString(attempt.worker().value());
            packer.packLong(attempt.incarnation());
            MessagePackCodec.resources(packer, attempt.resources());
            packer.packLong(attempt.revision());
        }
        MessagePackCodec.optional(packer, task.checkpoint());
        packer.packBoolean(task.cancelling()).packInt(task.failures());
        MessagePackCodec.optional(packer, task.message());
    }

    private static TaskRecord task(MessageUnpacker unpacker) throws IOException {
        return new TaskRecord(
                TaskId.of(unpacker.unpackString()),
                CommandCodec.key(unpacker),
                TaskState.valueOf(unpacker.unpackString()),
                dataCentre(MessagePackCodec.optional(unpacker)),
                unpacker.unpackInt(),
                attempt(unpacker),
                MessagePackCodec.optional(unpacker),
                unpacker.unpackBoolean(),
                unpacker.unpackInt(),
                MessagePackCodec.optional(unpacker));
    }

    private static Attempt attempt(MessageUnpacker unpacker) throws IOException {
        if (unpacker.tryUnpackNil()) {
            return null;
        }
        return new Attempt(
                unpacker.unpackInt(),
                WorkerId.of(unpacker.unpackString()),
                unpacker.unpackLong(),
                MessagePackCodec.resources(unpacker),
                unpacker.unpackLong());
    }

    private static DataCentreId dataCentre(String text) {
        return text == null ? null : DataCentreId.of(text);
    }

    private static void scheduler(MessageBufferPacker packer, SchedulerTerm term) throws IOException {
        packer.packString(term.dataCentre().value()).packLong(term.term());
        MessagePackCodec.optional(packer, term.host());
        MessagePackCodec.optional(packer, term.address());
        packer.packLong(term.renewals()).packLong(term.leaseMillis());
    }

    private static SchedulerTerm scheduler(MessageUnpacker unpacker) throws IOException {
        DataCentreId dataCentre = DataCentreId.of(unpacker.unpackString());
        long term = unpacker.unpackLong();
        String host = MessagePackCodec.optional(unpacker);
        return new SchedulerTerm(
                dataCentre,
                term,
                host == null ? null : HostId.of(host),
                MessagePackCodec.optional(unpacker),
                unpacker.unpackLong(),
                unpacker.unpackLong());
    }
}
