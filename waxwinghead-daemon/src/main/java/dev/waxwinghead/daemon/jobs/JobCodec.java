package dev.waxwinghead.daemon.jobs;

import dev.waxwinghead.daemon.classes.JobClassCodec;
import dev.waxwinghead.daemon.codec.MessagePackCodec;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.JobId;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.scheduling.job.CheckpointRecency;
import dev.waxwinghead.scheduling.job.JobCommand;
import dev.waxwinghead.scheduling.job.JobOutcome;
import dev.waxwinghead.scheduling.job.JobSchedule;
import dev.waxwinghead.scheduling.job.JobStep;
import dev.waxwinghead.scheduling.job.JobSubmission;
import dev.waxwinghead.scheduling.job.JobTransition;
import dev.waxwinghead.scheduling.job.RunEnd;
import dev.waxwinghead.scheduling.job.RunKey;
import dev.waxwinghead.scheduling.job.TaskKey;
import dev.waxwinghead.scheduling.job.WorkerIncarnation;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes commands to the job table and their outcomes as MessagePack. */
final class JobCodec {
    private static final int ACQUIRE = 1;
    private static final int ACCEPT = 2;
    private static final int CANCEL = 3;
    private static final int ADVANCE = 4;
    private static final int IN_EPOCH = 16;
    private static final int DRAIN = 5;
    private static final int UNDRAIN = 6;
    private static final int STARTED = 1;
    private static final int ENDED = 2;
    private static final int FORGOTTEN = 3;
    private static final int BEGUN = 4;
    private static final int SILENT = 5;
    private static final int RETURNED = 6;

    private static final int CHECKPOINTS = 1;
    private static final int GANG = 2;
    private static final int SAME_RACK = 4;
    private static final int SPECULATIVE = 8;
    private static final int LASTING = 16;
    private static final int BEST_EFFORT = 32;

    private JobCodec() {}

    static byte[] pack(JobCommand command) {
        return MessagePackCodec.pack(packer -> packCommand(packer, command));
    }

    static JobCommand unpack(byte[] bytes) {
        return MessagePackCodec.unpack(bytes, JobCodec::unpackCommand);
    }

    static byte[] pack(JobOutcome outcome) {
        return new byte[] {(byte) outcome.code()};
    }

    static JobOutcome unpackOutcome(byte[] bytes) {
        return JobOutcome.ofCode(bytes[0]);
    }

    /** Encodes the outcome of a drain or undrain as {@link #pack(JobOutcome)} does, followed by its index. */
    static byte[] pack(DrainResult result) {
        return ByteBuffer.allocate(1 + Long.BYTES)
                .put((byte) result.outcome().code())
                .putLong(result.index())
                .array();
    }

    static DrainResult unpackDrainResult(byte[] bytes) {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        JobOutcome outcome = JobOutcome.ofCode(buffer.get());
        return new DrainResult(buffer.getLong(), outcome);
    }

    static void packAccept(MessageBufferPacker packer, JobCommand.Accept accept) throws IOException {
        packSubmission(packer, accept.submission());
        JobClassCodec.packTerms(packer, accept.terms());
        packer.packLong(accept.acceptedEpochMillis());
    }

    static JobCommand.Accept unpackAccept(MessageUnpacker unpacker) throws IOException {
        return new JobCommand.Accept(
                unpackSubmission(unpacker), JobClassCodec.unpackTerms(unpacker), unpacker.unpackLong());
    }

    static void packSubmission(MessageBufferPacker packer, JobSubmission submission) throws IOException {
        packer.packString(submission.id().value());
        packer.packString(submission.payload());
        MessagePackCodec.list(packer, submission.steps(), JobCodec::packStep);
        packer.packInt(submission.schedule().occurrences());
        packer.packLong(submission.schedule().startEpochMillis());
        packer.packLong(submission.schedule().intervalMillis());
    }

    static JobSubmission unpackSubmission(MessageUnpacker unpacker) throws IOException {
        return new JobSubmission(
                JobId.of(unpacker.unpackString()),
                unpacker.unpackString(),
                MessagePackCodec.list(unpacker, JobCodec::unpackStep),
                new JobSchedule(unpacker.unpackInt(), unpacker.unpackLong(), unpacker.unpackLong()));
    }

    static void packTask(MessageBufferPacker packer, TaskKey task) throws IOException {
        packer.packString(task.job().value());
        packer.packInt(task.occurrence()).packInt(task.step()).packInt(task.index());
    }

    static TaskKey unpackTask(MessageUnpacker unpacker) throws IOException {
        return new TaskKey(
                JobId.of(unpacker.unpackString()), unpacker.unpackInt(), unpacker.unpackInt(), unpacker.unpackInt());
    }

    static void packIncarnation(MessageBufferPacker packer, WorkerIncarnation incarnation) throws IOException {
        packer.packString(incarnation.worker().value()).packLong(incarnation.startedEpochMillis());
    }

    static WorkerIncarnation unpackIncarnation(MessageUnpacker unpacker) throws IOException {
        return new WorkerIncarnation(WorkerId.of(unpacker.unpackString()), unpacker.unpackLong());
    }

    private static void packCommand(MessageBufferPacker packer, JobCommand command) throws IOException {
        if (command instanceof JobCommand.Acquire acquire) {
            packer.packInt(ACQUIRE).packString(acquire.host().value());
        } else if (command instanceof JobCommand.Accept accept) {
            packer.packInt(ACCEPT);
            packAccept(packer, accept);
        } else if (command instanceof JobCommand.Cancel cancel) {
            packer.packInt(CANCEL).packString(cancel.job().value());
        } else if (command instanceof JobCommand.Advance advance) {
            packer.packInt(ADVANCE);
            packAdvance(packer, advance);
        } else if (command instanceof JobCommand.InEpoch guarded) {
            packer.packInt(IN_EPOCH).packLong(guarded.epoch());
            packCommand(packer, guarded.command());
        } else if (command instanceof JobCommand.Drain drain) {
            packer.packInt(DRAIN).packString(drain.dataCentre().value());
            packLatestKnown(packer, drain.latestKnown());
        } else if (command instanceof JobCommand.Undrain undrain) {
            packer.packInt(UNDRAIN).packString(undrain.dataCentre().value());
            packLatestKnown(packer, undrain.latestKnown());
        }
    }

    private static void packLatestKnown(MessageBufferPacker packer, long index) throws IOException {
        if (index != JobCommand.ANY) {
            packer.packLong(index);
        }
    }

    private static long unpackLatestKnown(MessageUnpacker unpacker) throws IOException {
        // Commands of earlier versions end before the index.
        return unpacker.hasNext() ? unpacker.unpackLong() : JobCommand.ANY;
    }

    private static JobCommand unpackCommand(MessageUnpacker unpacker) throws IOException {
        int type = unpacker.unpackInt();
        return switch (type) {
            case ACQUIRE -> new JobCommand.Acquire(HostId.of(unpacker.unpackString()));
            case ACCEPT -> unpackAccept(unpacker);
            case CANCEL -> new JobCommand.Cancel(JobId.of(unpacker.unpackString()));
            case ADVANCE -> unpackAdvance(unpacker);
            case IN_EPOCH -> new JobCommand.InEpoch(unpacker.unpackLong(), unpackCommand(unpacker));
            case DRAIN -> new JobCommand.Drain(DataCentreId.of(unpacker.unpackString()), unpackLatestKnown(unpacker));
            case UNDRAIN ->
                new JobCommand.Undrain(DataCentreId.of(unpacker.unpackString()), unpackLatestKnown(unpacker));
            default -> throw new IOException("unknown command type " + type);
        };
    }

    private static void packAdvance(MessageBufferPacker packer, JobCommand.Advance advance) throws IOException {
        packer.packLong(advance.epoch());
        MessagePackCodec.list(packer, advance.transitions(), JobCodec::packTransition);
        List<RankedEnd> ranked = new ArrayList<>();
        for (int position = 0; position < advance.transitions().size(); position++) {
            if (advance.transitions().get(position) instanceof JobTransition.Ended ended
                    && ended.recency() != CheckpointRecency.UNKNOWN) {
                ranked.add(new RankedEnd(position, ended.recency()));
            }
        }
        if (!ranked.isEmpty()) {
            MessagePackCodec.list(
                    packer, ranked, (out, end) -> out.packInt(end.position()).packInt(end.recency()));
        }
    }

    private static JobCommand.Advance unpackAdvance(MessageUnpacker unpacker) throws IOException {
        long epoch = unpacker.unpackLong();
        List<JobTransition> transitions = new ArrayList<>(MessagePackCodec.list(unpacker, JobCodec::unpackTransition));
        // Commands of earlier versions, and those without ends of gangs, end here.
        if (unpacker.hasNext()) {
            MessagePackCodec.list(unpacker, in -> new RankedEnd(in.unpackInt(), in.unpackInt()))
                    .forEach(end -> transitions.set(
                            end.position(), end.rank((JobTransition.Ended) transitions.get(end.position()))));
        }
        return new JobCommand.Advance(epoch, transitions);
    }

    private static void packTransition(MessageBufferPacker packer, JobTransition transition) throws IOException {
        if (transition instanceof JobTransition.Started started) {
            packer.packInt(STARTED);
            packRun(packer, started.run());
            packIncarnation(packer, started.worker());
        } else if (transition instanceof JobTransition.Ended ended) {
            packer.packInt(ENDED);
            packRun(packer, ended.run());
            packer.packInt(ended.end().code()).packString(ended.checkpoint());
        } else if (transition instanceof JobTransition.Removed forgotten) {
            packer.packInt(FORGOTTEN).packString(forgotten.job().value());
        } else if (transition instanceof JobTransition.Begun begun) {
            packer.packInt(BEGUN).packString(begun.job().value());
        } else if (transition instanceof JobTransition.Silent silent) {
            packer.packInt(SILENT);
            packIncarnation(packer, silent.worker());
        } else if (transition instanceof JobTransition.Returned returned) {
            packer.packInt(RETURNED);
            packIncarnation(packer, returned.worker());
        }
    }

    private static JobTransition unpackTransition(MessageUnpacker unpacker) throws IOException {
        int type = unpacker.unpackInt();
        return switch (type) {
            case STARTED -> new JobTransition.Started(unpackRun(unpacker), unpackIncarnation(unpacker));
            case ENDED ->
                new JobTransition.Ended(
                        unpackRun(unpacker), RunEnd.ofCode(unpacker.unpackInt()), unpacker.unpackString());
            case FORGOTTEN -> new JobTransition.Removed(JobId.of(unpacker.unpackString()));
            case BEGUN -> new JobTransition.Begun(JobId.of(unpacker.unpackString()));
            case SILENT -> new JobTransition.Silent(unpackIncarnation(unpacker));
            case RETURNED -> new JobTransition.Returned(unpackIncarnation(unpacker));
            default -> throw new IOException("unknown transition type " + type);
        };
    }

    private static void packRun(MessageBufferPacker packer, RunKey run) throws IOException {
        packTask(packer, run.task());
        packer.packInt(run.attempt());
    }

    private static RunKey unpackRun(MessageUnpacker unpacker) throws IOException {
        return new RunKey(unpackTask(unpacker), unpacker.unpackInt());
    }

    private static void packStep(MessageBufferPacker packer, JobStep step) throws IOException {
        packer.packInt(step.count());
        MessagePackCodec.resources(packer, step.need());
        packer.packLong(step.estimateMillis());
        MessagePackCodec.list(packer, step.after(), MessageBufferPacker::packInt);
        packer.packInt(flags(step));
        packer.packString(step.requiredLabel());
        packer.packString(step.dataRack());
        packer.packInt(step.maxPerWorker());
        packer.packString(step.image());
        packer.packLong(step.targetMillis());
        packer.packInt(step.maxUnavailable());
    }

    private static int flags(JobStep step) {
        return (step.checkpoints() ? CHECKPOINTS : 0)
                | (step.gang() ? GANG : 0)
                | (step.sameRack() ? SAME_RACK : 0)
                | (step.speculative() ? SPECULATIVE : 0)
                | (step.lasting() ? LASTING : 0)
                | (step.bestEffort() ? BEST_EFFORT : 0);
    }

    private static JobStep unpackStep(MessageUnpacker unpacker) throws IOException {
        int count = unpacker.unpackInt();
        var need = MessagePackCodec.resources(unpacker);
        long estimateMillis = unpacker.unpackLong();
        List<Integer> after = MessagePackCodec.list(unpacker, MessageUnpacker::unpackInt);
        int flags = unpacker.unpackInt();
        return new JobStep(
                count,
                need,
                estimateMillis,
                after,
                (flags & CHECKPOINTS) != 0,
                (flags & GANG) != 0,
                (flags & SAME_RACK) != 0,
                unpacker.unpackString(),
                unpacker.unpackString(),
                unpacker.unpackInt(),
                (flags & SPECULATIVE) != 0,
                (flags & LASTING) != 0,
                unpacker.unpackString(),
                unpacker.unpackLong(),
                (flags & BEST_EFFORT) != 0,
                unpacker.unpackInt());
    }

    /** The rank of the checkpoint of an end, by the position of the end in its command. */
    private record RankedEnd(int position, int recency) {
        JobTransition.Ended rank(JobTransition.Ended ended) {
            return new JobTransition.Ended(ended.run(), ended.end(), ended.checkpoint(), recency);
        }
    }
}
