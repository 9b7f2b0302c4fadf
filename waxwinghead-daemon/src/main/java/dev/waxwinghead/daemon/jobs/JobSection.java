package dev.waxwinghead.daemon.jobs;

import dev.waxwinghead.daemon.codec.MessagePackCodec;
import dev.waxwinghead.daemon.state.SectionId;
import dev.waxwinghead.daemon.state.StateSection;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.JobId;
import dev.waxwinghead.scheduling.job.JobCommand;
import dev.waxwinghead.scheduling.job.JobOutcome;
import dev.waxwinghead.scheduling.job.JobRecord;
import dev.waxwinghead.scheduling.job.JobState;
import dev.waxwinghead.scheduling.job.JobTable;
import dev.waxwinghead.scheduling.job.StepRecord;
import dev.waxwinghead.scheduling.job.TaskKey;
import dev.waxwinghead.scheduling.job.TaskRecord;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** Holds the job table as a section of the shared state. Readers synchronize on the table. */
final class JobSection implements StateSection {
    private final JobTable table = JobTable.create();
    private volatile Runnable listener = () -> {};

    JobTable table() {
        return table;
    }

    /** Sets the action to run after each command and restore. The action must not block. */
    void onChange(Runnable action) {
        listener = action;
    }

    @Override
    public SectionId id() {
        return SectionId.JOBS;
    }

    @Override
    public byte[] apply(long index, byte[] command) {
        JobCommand decoded = JobCodec.unpack(command);
        JobOutcome outcome;
        synchronized (table) {
            outcome = table.apply(index, decoded);
        }
        listener.run();
        boolean drains = decoded instanceof JobCommand.Drain || decoded instanceof JobCommand.Undrain;
        return drains ? JobCodec.pack(new DrainResult(index, outcome)) : JobCodec.pack(outcome);
    }

    @Override
    public byte[] snapshot() {
        synchronized (table) {
            return MessagePackCodec.pack(packer -> {
                packer.packLong(table.epoch());
                MessagePackCodec.list(packer, table.canceledBeforeArrival(), (out, job) -> out.packString(job.value()));
                MessagePackCodec.list(packer, table.all(), JobSection::packJob);
                MessagePackCodec.list(packer, suspects(), this::packSuspect);
                MessagePackCodec.list(packer, runningGangs(), this::packGangAttempt);
                MessagePackCodec.list(packer, notBegun(), (out, job) -> out.packString(job.value()));
                MessagePackCodec.list(
                        packer, table.drainedDataCentres(), (out, dataCentre) -> out.packString(dataCentre.value()));
                MessagePackCodec.list(
                        packer,
                        table.latestDrainCommands().entrySet(),
                        (out, latest) -> out.packString(latest.getKey().value()).packLong(latest.getValue()));
                MessagePackCodec.list(packer, table.silences().keySet(), JobCodec::packIncarnation);
            });
        }
    }

    @Override
    public void restore(byte[] snapshot) {
        synchronized (table) {
            table.clear();
            MessagePackCodec.unpack(snapshot, unpacker -> {
                long epoch = unpacker.unpackLong();
                table.restore(epoch, MessagePackCodec.list(unpacker, in -> JobId.of(in.unpackString())));
                MessagePackCodec.list(unpacker, this::unpackJob);
                // Snapshots of earlier versions end here or after one of the next lists.
                if (unpacker.hasNext()) {
                    MessagePackCodec.list(unpacker, this::unpackSuspect);
                }
                if (unpacker.hasNext()) {
                    MessagePackCodec.list(unpacker, this::unpackGangAttempt);
                }
                if (unpacker.hasNext()) {
                    MessagePackCodec.list(unpacker, in -> JobId.of(in.unpackString()))
                            .forEach(table::restoreNotBegun);
                }
                if (unpacker.hasNext()) {
                    MessagePackCodec.list(unpacker, in -> DataCentreId.of(in.unpackString()))
                            .forEach(table::restoreDrained);
                }
                if (unpacker.hasNext()) {
                    MessagePackCodec.list(unpacker, this::unpackLatestDrainCommand);
                }
                if (unpacker.hasNext()) {
                    MessagePackCodec.list(unpacker, JobCodec::unpackIncarnation).forEach(table::restoreSilence);
                }
                return epoch;
            });
        }
        listener.run();
    }

    private DataCentreId unpackLatestDrainCommand(MessageUnpacker unpacker) throws IOException {
        DataCentreId dataCentre = DataCentreId.of(unpacker.unpackString());
        table.restoreLatestDrainCommand(dataCentre, unpacker.unpackLong());
        return dataCentre;
    }

    private static void packJob(MessageBufferPacker packer, JobRecord job) throws IOException {
        JobCodec.packAccept(packer, new JobCommand.Accept(job.submission(), job.terms(), job.acceptedEpochMillis()));
        packer.packInt(job.state().code());
        MessagePackCodec.list(packer, modifiedTasks(job), (out, key) -> packTask(out, key, job));
    }

    private JobId unpackJob(MessageUnpacker unpacker) throws IOException {
        JobCommand.Accept accept = JobCodec.unpackAccept(unpacker);
        JobState state = JobState.ofCode(unpacker.unpackInt());
        table.restore(accept, state, MessagePackCodec.list(unpacker, JobSection::unpackTask));
        return accept.submission().id();
    }

    private List<TaskKey> suspects() {
        return table.all().stream()
                .flatMap(job -> modifiedTasks(job).stream()
                        .filter(task -> job.task(task).suspect()))
                .toList();
    }

    private void packSuspect(MessageBufferPacker packer, TaskKey task) throws IOException {
        JobCodec.packTask(packer, task);
        packer.packInt(table.find(task.job()).orElseThrow().task(task).crashes());
    }

    private TaskKey unpackSuspect(MessageUnpacker unpacker) throws IOException {
        TaskKey task = JobCodec.unpackTask(unpacker);
        table.restoreCrashes(task, unpacker.unpackInt());
        return task;
    }

    /** Returns the first member of each gang that has live runs. */
    private List<TaskKey> runningGangs() {
        List<TaskKey> gangs = new ArrayList<>();
        for (JobRecord job : table.all()) {
            for (int occurrence = 0; occurrence < job.occurrences().size(); occurrence++) {
                List<StepRecord> steps = job.occurrences().get(occurrence);
                for (int step = 0; step < steps.size(); step++) {
                    if (steps.get(step).step().gang() && steps.get(step).liveRuns() > 0) {
                        gangs.add(new TaskKey(job.id(), occurrence, step, 0));
                    }
                }
            }
        }
        return gangs;
    }

    /** Returns the jobs that have runs, none of which a worker has listed. */
    private List<JobId> notBegun() {
        return table.all().stream()
                .filter(job -> job.state() == JobState.RUNNING && !job.begun())
                .map(JobRecord::id)
                .toList();
    }

    private void packGangAttempt(MessageBufferPacker packer, TaskKey member) throws IOException {
        JobRecord job = table.find(member.job()).orElseThrow();
        JobCodec.packTask(packer, member);
        packer.packString(job.step(member).startCheckpoint(job.task(member)));
        packer.packInt(job.step(member).checkpointRecency());
    }

    private TaskKey unpackGangAttempt(MessageUnpacker unpacker) throws IOException {
        TaskKey member = JobCodec.unpackTask(unpacker);
        table.restoreGangAttempt(member, unpacker.unpackString(), unpacker.unpackInt());
        return member;
    }

    private static List<TaskKey> modifiedTasks(JobRecord job) {
        List<TaskKey> modified = new ArrayList<>();
        for (int occurrence = 0; occurrence < job.occurrences().size(); occurrence++) {
            List<StepRecord> steps = job.occurrences().get(occurrence);
            for (int step = 0; step < steps.size(); step++) {
                addModified(modified, job, occurrence, step);
            }
        }
        return modified;
    }

    private static void addModified(List<TaskKey> modified, JobRecord job, int occurrence, int step) {
        List<TaskRecord> tasks = job.occurrences().get(occurrence).get(step).tasks();
        for (int index = 0; index < tasks.size(); index++) {
            if (tasks.get(index).attempts() > 0 || tasks.get(index).completed()) {
                modified.add(new TaskKey(job.id(), occurrence, step, index));
            }
        }
    }

    private static void packTask(MessageBufferPacker packer, TaskKey key, JobRecord job) throws IOException {
        TaskRecord task = job.task(key);
        JobCodec.packTask(packer, key);
        packer.packInt(task.attempts()).packInt(task.failures()).packBoolean(task.completed());
        packer.packString(job.step(key).checkpoint(task));
        MessagePackCodec.list(packer, task.liveRuns(), (out, run) -> {
            out.packInt(run.attempt());
            JobCodec.packIncarnation(out, run.worker());
        });
    }

    private static JobTable.RestoredTask unpackTask(MessageUnpacker unpacker) throws IOException {
        return new JobTable.RestoredTask(
                JobCodec.unpackTask(unpacker),
                unpacker.unpackInt(),
                unpacker.unpackInt(),
                unpacker.unpackBoolean(),
                unpacker.unpackString(),
                MessagePackCodec.list(
                        unpacker, in -> new TaskRecord.LiveRun(in.unpackInt(), JobCodec.unpackIncarnation(in))));
    }
}
