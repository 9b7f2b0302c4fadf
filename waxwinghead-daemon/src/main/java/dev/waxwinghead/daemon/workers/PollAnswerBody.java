package dev.waxwinghead.daemon.workers;

import com.fasterxml.jackson.annotation.JsonInclude;
import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.model.resource.Resources;
import dev.waxwinghead.scheduling.task.PollAnswer;
import dev.waxwinghead.scheduling.task.ServiceTerms;
import dev.waxwinghead.scheduling.task.WorkerCommand;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Represents the JSON body of the answer to a worker's poll. */
record PollAnswerBody(long schedulerTerm, long leaseMillis, String scheduler, List<CommandBody> commands) {
    static PollAnswerBody from(PollReply reply) {
        PollAnswer answer = reply.answer();
        return new PollAnswerBody(
                answer.term(),
                TimeUnit.NANOSECONDS.toMillis(answer.leaseNanos()),
                reply.scheduler(),
                answer.commands().stream().map(CommandBody::from).toList());
    }

    /** Represents a command in JSON; fields that a type does not have are omitted. */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    record CommandBody(
            String type,
            TaskId task,
            int attempt,
            Resources resources,
            Map<String, String> settings,
            ServiceTerms service,
            String checkpoint,
            Long graceMillis,
            Long millicores) {
        static CommandBody from(WorkerCommand command) {
            if (command instanceof WorkerCommand.Start start) {
                return new CommandBody(
                        "start",
                        start.task(),
                        start.attempt(),
                        start.resources(),
                        start.settings(),
                        start.service(),
                        start.checkpoint(),
                        null,
                        null);
            }
            if (command instanceof WorkerCommand.Stop stop) {
                return plain("stop", stop.task(), stop.attempt(), stop.graceMillis(), null);
            }
            if (command instanceof WorkerCommand.Checkpoint checkpoint) {
                return plain("checkpoint", checkpoint.task(), checkpoint.attempt(), null, null);
            }
            if (command instanceof WorkerCommand.Throttle throttle) {
                return plain("throttle", throttle.task(), throttle.attempt(), null, throttle.millicores());
            }
            WorkerCommand.Acknowledge acknowledge = (WorkerCommand.Acknowledge) command;
            return plain("acknowledge", acknowledge.task(), acknowledge.attempt(), null, null);
        }

        private static CommandBody plain(String type, TaskId task, int attempt, Long graceMillis, Long millicores) {
            return new CommandBody(type, task, attempt, null, null, null, null, graceMillis, millicores);
        }
    }
}
