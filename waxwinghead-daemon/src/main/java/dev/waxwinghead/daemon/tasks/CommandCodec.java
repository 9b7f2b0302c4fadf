package dev.waxwinghead.daemon.tasks;

import dev.waxwinghead.daemon.codec.MessagePackCodec;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.ChangeId;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.JobName;
import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.manifest.Manifest;
import dev.waxwinghead.model.manifest.ManifestKey;
import dev.waxwinghead.model.manifest.ManifestKind;
import dev.waxwinghead.model.manifest.Manifests;
import dev.waxwinghead.scheduling.task.CommandResult;
import dev.waxwinghead.scheduling.task.TaskCommand;
import dev.waxwinghead.scheduling.task.Transition;
import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes task commands and their results as MessagePack. The leading codes are stored in the log and never change. */
final class CommandCodec {
    private static final int ACQUIRE = 1;
    private static final int RENEW = 2;
    private static final int RELEASE = 3;
    private static final int REVOKE = 4;
    private static final int TRANSITIONS = 5;
    private static final int RECONCILE = 6;
    private static final int DELEGATE = 7;
    private static final int RESTART = 8;
    private static final int CANCEL_JOBS = 9;
    private static final int EXPLAIN = 10;
    private static final int DRAIN_WORKER = 11;
    private static final int SET_DRAINED = 12;

    private CommandCodec() {}

    static byte[] write(TaskCommand command) {
        return MessagePackCodec.pack(packer -> write(packer, command));
    }

    static TaskCommand read(byte[] bytes) {
        return MessagePackCodec.unpack(bytes, CommandCodec::read);
    }

    static byte[] writeResult(CommandResult result) {
        return MessagePackCodec.pack(
                packer -> packer.packBoolean(result.accepted()).packLong(result.term()));
    }

    static CommandResult readResult(byte[] bytes) {
        return MessagePackCodec.unpack(
                bytes, unpacker -> new CommandResult(unpacker.unpackBoolean(), unpacker.unpackLong()));
    }

    static void key(MessageBufferPacker packer, ManifestKey key) throws IOException {
        packer.packString(key.kind().text()).packString(key.name());
    }

    static ManifestKey key(MessageUnpacker unpacker) throws IOException {
        return ManifestKey.of(ManifestKind.ofText(unpacker.unpackString()), unpacker.unpackString());
    }

    static Manifest manifest(MessageUnpacker unpacker) throws IOException {
        String json = MessagePackCodec.optional(unpacker);
        return json == null ? null : Manifests.readJson(json);
    }

    static String json(Manifest manifest) {
        return manifest == null ? null : Manifests.writeJson(manifest);
    }

    private static void write(MessageBufferPacker packer, TaskCommand command) throws IOException {
        if (command instanceof TaskCommand.Acquire acquire) {
            packer.packInt(ACQUIRE).packString(acquire.dataCentre().value());
            packer.packString(acquire.host().value()).packString(acquire.address());
            packer.packLong(acquire.expectedTerm()).packLong(acquire.leaseMillis());
        } else if (command instanceof TaskCommand.Renew renew) {
            packer.packInt(RENEW).packString(renew.dataCentre().value()).packLong(renew.term());
        } else if (command instanceof TaskCommand.Release release) {
            packer.packInt(RELEASE).packString(release.dataCentre().value()).packLong(release.term());
        } else if (command instanceof TaskCommand.Revoke revoke) {
            packer.packInt(REVOKE).packString(revoke.dataCentre().value());
            packer.packLong(revoke.term()).packLong(revoke.renewals());
        } else if (command instanceof TaskCommand.Transitions transitions) {
            packer.packInt(TRANSITIONS).packString(transitions.dataCentre().value());
            packer.packLong(transitions.term());
            MessagePackCodec.list(packer, transitions.transitions(), CommandCodec::transition);
        } else {
            writePlan(packer, command);
        }
    }

    private static void writePlan(MessageBufferPacker packer, TaskCommand command) throws IOException {
        if (command instanceof TaskCommand.Reconcile reconcile) {
            packer.packInt(RECONCILE).packLong(reconcile.base()).packLong(reconcile.revision());
            MessagePackCodec.list(packer, reconcile.changes(), CommandCodec::ownerChange);
        } else if (command instanceof TaskCommand.Delegate delegate) {
            packer.packInt(DELEGATE).packString(delegate.dataCentre().value());
            MessagePackCodec.list(packer, delegate.tasks(), (to, task) -> to.packString(task.value()));
        } else if (command instanceof TaskCommand.Restart restart) {
            packer.packInt(RESTART);
            MessagePackCodec.list(packer, restart.tasks(), (to, task) -> to.packString(task.value()));
        } else if (command instanceof TaskCommand.CancelJobs cancel) {
            packer.packInt(CANCEL_JOBS);
            MessagePackCodec.list(packer, cancel.jobs(), (to, job) -> to.packString(job.value()));
        } else if (command instanceof TaskCommand.RecordReason explain) {
            packer.packInt(EXPLAIN);
            key(packer, explain.owner());
            packer.packBoolean(explain.impossible());
            MessagePackCodec.optional(packer, explain.reason());
        } else if (command instanceof TaskCommand.DrainWorker drain) {
            packer.packInt(DRAIN_WORKER).packString(drain.worker().value()).packLong(drain.incarnation());
        } else if (command instanceof TaskCommand.SetDrained drain) {
            packer.packInt(SET_DRAINED).packString(drain.change().value());
            packer.packString(drain.dataCentre().value()).packBoolean(drain.drained());
        }
    }

    private static TaskCommand read(MessageUnpacker unpacker) throws IOException {
        int code = unpacker.unpackInt();
        return switch (code) {
            case ACQUIRE ->
                new TaskCommand.Acquire(
                        dataCentre(unpacker),
                        HostId.of(unpacker.unpackString()),
                        unpacker.unpackString(),
                        unpacker.unpackLong(),
                        unpacker.unpackLong());
            case RENEW -> new TaskCommand.Renew(dataCentre(unpacker), unpacker.unpackLong());
            case RELEASE -> new TaskCommand.Release(dataCentre(unpacker), unpacker.unpackLong());
            case REVOKE -> new TaskCommand.Revoke(dataCentre(unpacker), unpacker.unpackLong(), unpacker.unpackLong());
            case TRANSITIONS ->
                new TaskCommand.Transitions(
                        dataCentre(unpacker),
                        unpacker.unpackLong(),
                        MessagePackCodec.list(unpacker, CommandCodec::transition));
            case RECONCILE ->
                new TaskCommand.Reconcile(
                        unpacker.unpackLong(),
                        unpacker.unpackLong(),
                        MessagePackCodec.list(unpacker, CommandCodec::ownerChange));
            case DELEGATE ->
                new TaskCommand.Delegate(dataCentre(unpacker), MessagePackCodec.list(unpacker, CommandCodec::task));
            case RESTART -> new TaskCommand.Restart(MessagePackCodec.list(unpacker, CommandCodec::task));
            case CANCEL_JOBS ->
                new TaskCommand.CancelJobs(MessagePackCodec.list(unpacker, from -> JobName.of(from.unpackString())));
            case EXPLAIN ->
                new TaskCommand.RecordReason(
                        key(unpacker), unpacker.unpackBoolean(), MessagePackCodec.optional(unpacker));
            case DRAIN_WORKER ->
                new TaskCommand.DrainWorker(WorkerId.of(unpacker.unpackString()), unpacker.unpackLong());
            case SET_DRAINED ->
                new TaskCommand.SetDrained(
                        ChangeId.of(unpacker.unpackString()), dataCentre(unpacker), unpacker.unpackBoolean());
            default ->
                throw WaxwingheadException.of(
                        ErrorKind.INTERNAL,
                        "task command code " + code + " is unknown",
                        "run the same version on all entry hosts");
        };
    }

    private static DataCentreId dataCentre(MessageUnpacker unpacker) throws IOException {
        return DataCentreId.of(unpacker.unpackString());
    }

    private static TaskId task(MessageUnpacker unpacker) throws IOException {
        return TaskId.of(unpacker.unpackString());
    }

    private static void ownerChange(MessageBufferPacker packer, TaskCommand.OwnerChange change) throws IOException {
        key(packer, change.key());
        packer.packLong(change.revision());
        MessagePackCodec.optional(packer, json(change.manifest()));
    }

    private static TaskCommand.OwnerChange ownerChange(MessageUnpacker unpacker) throws IOException {
        return new TaskCommand.OwnerChange(key(unpacker), unpacker.unpackLong(), manifest(unpacker));
    }

    private static void transition(MessageBufferPacker packer, Transition transition) throws IOException {
        packer.packString(transition.task().value()).packInt(transition.attempt());
        if (transition instanceof Transition.Start start) {
            packer.packNil().packString(start.worker().value()).packLong(start.incarnation());
            MessagePackCodec.resources(packer, start.resources());
        } else {
            Transition.Report report = (Transition.Report) transition;
            packer.packInt(report.kind().code());
            MessagePackCodec.optional(packer, report.text());
        }
    }

    private static Transition transition(MessageUnpacker unpacker) throws IOException {
        TaskId task = task(unpacker);
        int attempt = unpacker.unpackInt();
        if (unpacker.tryUnpackNil()) {
            return new Transition.Start(
                    task,
                    attempt,
                    WorkerId.of(unpacker.unpackString()),
                    unpacker.unpackLong(),
                    MessagePackCodec.resources(unpacker));
        }
        Transition.Kind kind = Transition.Kind.ofCode(unpacker.unpackInt());
        return new Transition.Report(kind, task, attempt, MessagePackCodec.optional(unpacker));
    }
}
