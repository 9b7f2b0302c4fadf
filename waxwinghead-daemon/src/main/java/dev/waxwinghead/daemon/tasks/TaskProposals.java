package dev.waxwinghead.daemon.tasks;

import dev.waxwinghead.daemon.part.DaemonContext;
import dev.waxwinghead.daemon.state.SectionId;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.scheduling.task.CommandResult;
import dev.waxwinghead.scheduling.task.TaskCommand;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Proposes task commands to the shared state. */
final class TaskProposals {
    private static final Duration PROPOSAL_TIMEOUT = Duration.ofSeconds(5);

    private final DaemonContext context;

    TaskProposals(DaemonContext context) {
        this.context = context;
    }

    CompletableFuture<CommandResult> propose(TaskCommand command) {
        byte[] bytes = CommandCodec.write(command);
        Deadline deadline = Deadline.after(PROPOSAL_TIMEOUT, context.ticker());
        return context.sharedState().propose(SectionId.TASKS, bytes, deadline).thenApply(CommandCodec::readResult);
    }

    /** Proposes a command and ignores a failure, for commands that the caller proposes again in its next round. */
    void proposeIgnoringFailure(TaskCommand command) {
        CompletableFuture<Object> ignored = propose(command).handle((result, failure) -> null);
        assert ignored != null;
    }
}
