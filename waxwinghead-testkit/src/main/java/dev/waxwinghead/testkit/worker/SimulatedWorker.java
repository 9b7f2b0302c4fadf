package dev.waxwinghead.testkit.worker;

import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jboss.logging.Logger;

/**
 * Simulates one worker: polls the entry hosts and carries out their commands.
 *
 * <p>All polling happens on one thread. {@link #leave} may be called from any thread.
 */
final class SimulatedWorker implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(SimulatedWorker.class);
    private static final String POLL_PATH = "/worker/v1/poll";
    private static final long FIRST_LEASE_MILLIS = 6_000;
    private static final long MIN_TIMEOUT_MILLIS = 500;
    private static final long REDIRECT_PAUSE_MILLIS = 50;
    private static final int MAX_REDIRECTS = 3;
    private static final Duration ACKNOWLEDGE_TIMEOUT = Duration.ofSeconds(2);

    private final TaskContext context;
    private final TaskTable tasks;
    private final WorkerOptions options;
    private final Thread thread;
    private final AtomicBoolean leaving = new AtomicBoolean();
    private final CountDownLatch wake = new CountDownLatch(1);
    private final CompletableFuture<Void> left = new CompletableFuture<>();
    private volatile boolean closed;
    private long sequence;
    private long highestTerm;
    private long leaseMillis = FIRST_LEASE_MILLIS;
    private boolean inContact;

    private SimulatedWorker(TaskContext context, TaskTable tasks, WorkerOptions options) {
        this.context = context;
        this.tasks = tasks;
        this.options = options;
        this.thread = new Thread(this::run, "worker-" + context.worker().id());
    }

    static SimulatedWorker start(TaskContext context, TaskTable tasks, WorkerOptions options) {
        SimulatedWorker worker = new SimulatedWorker(context, tasks, options);
        worker.thread.start();
        return worker;
    }

    /** Starts to leave; the future completes once no work is in flight or the drain timeout has passed. */
    CompletableFuture<Void> leave() {
        if (leaving.compareAndSet(false, true)) {
            LOG.infof("worker leaving worker=%s", context.worker().id());
            tasks.leave();
            wake.countDown();
        }
        return left;
    }

    private void run() {
        try {
            while (!closed && !leaving.get()) {
                poll(MAX_REDIRECTS);
                boolean wokenEarly = wake.await(pauseMillis(), TimeUnit.MILLISECONDS);
                LOG.tracef("poll pause ended early=%s", wokenEarly);
            }
            if (!closed) {
                drain();
            }
            left.complete(null);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            left.complete(null);
        } catch (RuntimeException e) {
            left.completeExceptionally(e);
        }
    }

    private void drain() throws InterruptedException {
        Deadline deadline = Deadline.after(options.drain(), Ticker.system());
        while (tasks.busy() && !deadline.passed(Ticker.system())) {
            poll(MAX_REDIRECTS);
            TimeUnit.MILLISECONDS.sleep(Math.min(pauseMillis(), 200));
        }
        tasks.shutDownAll();
        Deadline acknowledgeDeadline = Deadline.after(ACKNOWLEDGE_TIMEOUT, Ticker.system());
        while (!tasks.isEmpty() && !acknowledgeDeadline.passed(Ticker.system())) {
            poll(MAX_REDIRECTS);
            TimeUnit.MILLISECONDS.sleep(100);
        }
    }

    private long pauseMillis() {
        return Math.max(10, Math.min(options.poll().toMillis(), leaseMillis / 4));
    }

    private void poll(int redirects) throws InterruptedException {
        if (!context.lease().held()) {
            tasks.expireLease();
        }
        long sentNanos = context.ticker().nanos();
        Duration timeout = Duration.ofMillis(Math.max(MIN_TIMEOUT_MILLIS, leaseMillis / 4));
        PollAnswer answer = await(context.client().post(POLL_PATH, request(), PollAnswer.class, timeout), timeout);
        followRedirects(answer, sentNanos, timeout, redirects);
    }

    private void followRedirects(PollAnswer first, long firstSentNanos, Duration timeout, int redirects)
            throws InterruptedException {
        PollAnswer answer = first;
        long sentNanos = firstSentNanos;
        for (int i = 0; i < redirects && isRedirect(answer); i++) {
            TimeUnit.MILLISECONDS.sleep(REDIRECT_PAUSE_MILLIS);
            sentNanos = context.ticker().nanos();
            answer = await(
                    context.client().post(answer.scheduler(), POLL_PATH, request(), PollAnswer.class, timeout),
                    timeout);
        }
        if (answer != null) {
            applyAnswer(answer, sentNanos);
        }
    }

    private static boolean isRedirect(PollAnswer answer) {
        return answer != null && answer.leaseMillis() == 0 && answer.scheduler() != null;
    }

    private PollRequest request() {
        sequence++;
        return new PollRequest(context.worker(), sequence, highestTerm, leaving.get(), tasks.reports());
    }

    private void applyAnswer(PollAnswer answer, long sentNanos) {
        if (answer.schedulerTerm() < highestTerm || answer.leaseMillis() <= 0) {
            return;
        }
        highestTerm = answer.schedulerTerm();
        leaseMillis = answer.leaseMillis();
        context.lease().extend(sentNanos, answer.leaseMillis());
        for (TaskCommand command : answer.commands()) {
            tasks.execute(command, context, leaving.get());
        }
    }

    private PollAnswer await(CompletableFuture<PollAnswer> answer, Duration timeout) throws InterruptedException {
        try {
            PollAnswer value = answer.get(timeout.toMillis() + MIN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            updateContact(true, null);
            return value;
        } catch (ExecutionException e) {
            updateContact(false, e.getCause());
            return null;
        } catch (TimeoutException e) {
            updateContact(false, e);
            return null;
        }
    }

    private void updateContact(boolean succeeded, Throwable failure) {
        if (inContact == succeeded) {
            return;
        }
        inContact = succeeded;
        if (succeeded) {
            LOG.infof("worker in contact worker=%s", context.worker().id());
        } else {
            LOG.warnf(
                    "worker out of contact worker=%s cause=%s",
                    context.worker().id(), WaxwingheadException.from(failure).getMessage());
        }
    }

    @Override
    public void close() {
        closed = true;
        wake.countDown();
        thread.interrupt();
        tasks.expireLease();
    }
}
