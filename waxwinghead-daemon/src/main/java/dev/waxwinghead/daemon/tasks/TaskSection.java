package dev.waxwinghead.daemon.tasks;

import dev.waxwinghead.daemon.state.SectionId;
import dev.waxwinghead.daemon.state.StateSection;
import dev.waxwinghead.scheduling.task.TaskTable;

/** Holds the task table as a section of the shared state. */
final class TaskSection implements StateSection {
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
        return CommandCodec.writeResult(table.apply(index, CommandCodec.read(command)));
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
