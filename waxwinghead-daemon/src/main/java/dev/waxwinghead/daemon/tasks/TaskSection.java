package dev.waxwinghead.daemon.tasks;

import dev.waxwinghead.daemon.state.SectionId;
import dev.waxwinghead.daemon.state.StateSection;
import dev.waxwinghead.scheduling.task.CommandResult;
import dev.waxwinghead.scheduling.task.TaskCommand;
import dev.waxwinghead.scheduling.task.TaskTable;
import org.jboss.logging.Logger;

/** Holds the task table as a section of the shared state. */
final class TaskSection implements StateSection {
    private static final Logger LOG = Logger.getLogger(TaskSection.class);

    private final TaskTable table = TaskTable.create();
    private volatile Runnable onRestore = () -> {};

    TaskTable table() {
        return table;
    }

    /** Sets the action to run after a snapshot is restored. The action runs on the thread that applies the log. */
    void onRestore(Runnable action) {
        onRestore = action;
    }

    @Override
    public SectionId id() {
        return SectionId.TASKS;
    }

    @Override
    public byte[] apply(long index, byte[] command) {
        TaskCommand decoded = CommandCodec.read(command);
        if (decoded instanceof TaskCommand.SetDrained drain) {
            boolean changes = table.drained(drain.dataCentre()) != drain.drained();
            CommandResult result = table.apply(index, drain);
            log(index, drain, result, changes);
            return CommandCodec.writeResult(result);
        }
        return CommandCodec.writeResult(table.apply(index, decoded));
    }

    /** Logs a drain or revert on each host that applies it, also when the log is read again after a restart. */
    private static void log(long index, TaskCommand.SetDrained drain, CommandResult result, boolean changes) {
        String outcome;
        if (!result.accepted()) {
            outcome = "change-id-reused";
        } else if (result.term() != index) {
            outcome = "resent";
        } else {
            outcome = changes ? "changed" : "unchanged";
        }
        LOG.infof(
                "event=%s dataCentre=%s change=%s index=%d outcome=%s",
                drain.drained() ? "data-centre-drained" : "data-centre-undrained",
                drain.dataCentre(),
                drain.change(),
                index,
                outcome);
    }

    @Override
    public byte[] snapshot() {
        return ContentsCodec.write(table.contents());
    }

    @Override
    public void restore(byte[] snapshot) {
        table.restore(ContentsCodec.read(snapshot));
        onRestore.run();
    }
}
