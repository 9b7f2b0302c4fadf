package dev.waxwinghead.daemon.workers;

import com.sun.net.httpserver.HttpExchange;
import dev.waxwinghead.daemon.http.HttpListener;
import dev.waxwinghead.daemon.http.JsonExchange;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.scheduling.task.PollReport;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.io.IOException;
import java.util.function.Function;

/** Serves the polls of workers. */
public final class WorkerRoutes {
    private static final String POLL = "/worker/v1/poll";

    private final Function<PollReport, PollReply> polls;
    private final Timer duration;

    private WorkerRoutes(Function<PollReport, PollReply> polls, MeterRegistry meters) {
        this.polls = polls;
        this.duration = Timer.builder("waxwinghead.worker.poll")
                .description("how long answering a worker's poll takes")
                .publishPercentileHistogram()
                .register(meters);
    }

    /**
     * Registers the routes.
     *
     * @param listener the listener for workers
     * @param polls the function that answers polls
     * @param meters the registry of metrics
     */
    public static void register(HttpListener listener, Function<PollReport, PollReply> polls, MeterRegistry meters) {
        WorkerRoutes routes = new WorkerRoutes(polls, meters);
        listener.route(POLL, routes::poll);
    }

    private void poll(HttpExchange exchange) throws IOException {
        if (!exchange.getRequestMethod().equals("POST")) {
            throw WaxwingheadException.of(
                    ErrorKind.INVALID_INPUT, "method " + exchange.getRequestMethod() + " is not served", "use POST");
        }
        PollReport report = JsonExchange.read(exchange, PollRequestBody.class).toReport();
        PollReply reply = duration.record(() -> polls.apply(report));
        JsonExchange.respond(exchange, 200, PollAnswerBody.from(reply));
    }
}
