package dev.waxwinghead.daemon.tasks;

import dev.waxwinghead.daemon.state.SectionId;
import dev.waxwinghead.daemon.state.StateSection;
import dev.waxwinghead.scheduling.task.TaskTable;

/** The section of the shared state that holds the task table. */
final class TaskSection implements StateSection {
    private final TaskTable table = TaskTable.create();
    private volatile Runnable onRestore = () -> {};

    TaskTable table() {
        return table;
    }

    /** Sets what runs after the whole state was replaced, on the applying thread. */
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
