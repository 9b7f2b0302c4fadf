package dev.waxwinghead.daemon.tasks;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.fail;

import com.fasterxml.jackson.databind.JsonNode;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.lifecycle.Closer;
import dev.waxwinghead.model.manifest.Manifests;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import dev.waxwinghead.scheduling.task.TaskCommand;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TasksPartTests {
    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);
    private static final Duration SHORT_LEASE = Duration.ofMillis(900);
    private static final Duration LONG_LEASE = Duration.ofSeconds(8);
    private static final String JOB = """
            kind: Job
            name: nightly
            team: seating
            tasks: 4
            resources: {millicores: 400, memoryBytes: 100, accelerators: 0}
            """;
    private static final String SERVICE = """
            kind: Service
            name: quotes
            team: seating
            replicas: 2
            resources: {millicores: 400, memoryBytes: 100, accelerators: 0}
            placement: {spreadOver: WORKER}
            """;

    private final Closer closer = Closer.create();
    private final FakeCluster cluster = closer.register(new FakeCluster());
    private final FakeCluster.Host first = cluster.addHost("e1", "dc1", SHORT_LEASE);
    private final FakeCluster.Host second = cluster.addHost("e2", "dc1", SHORT_LEASE);

    @AfterEach
    void close() {
        closer.close();
    }

    @Test
    void runsJobsToCompletionAndServicesOnSeveralWorkers() {
        FakeWorker one = worker("w1");
        FakeWorker two = worker("w2");
        cluster.apply(SERVICE + "---\n" + JOB);

        await("the job completes", () -> jobState("nightly").equals("completed"));
        await(
                "both replicas run",
                () -> running(one, two, "service/quotes/0") && running(one, two, "service/quotes/1"));
        assertThat(one.runs("service/quotes/0")).isNotEqualTo(one.runs("service/quotes/1"));
        assertThat(one.starts.size() + two.starts.size()).isEqualTo(6);
    }

    @Test
    void schedulesAgainAfterThePoolWasFull() {
        cluster.setPoolFull(true);
        pause(500);
        cluster.setPoolFull(false);
        worker("w1");
        cluster.apply(JOB);

        await("the job completes", () -> jobState("nightly").equals("completed"));
    }

    @ParameterizedTest
    @ValueSource(classes = {TaskCommand.Acquire.class, TaskCommand.Renew.class, TaskCommand.Transitions.class})
    void keepsSchedulingAfterThePoolWasFullWhenAProposalCompleted(Class<? extends TaskCommand> type) {
        await("a host acts in the first data centre", () -> acts(first) || acts(second));
        cluster.fillPoolAfter(command -> type.isInstance(command) && concerns(DataCentreId.of("dc2"), command));
        FakeCluster.Host third = cluster.addHost("e3", "dc2", LONG_LEASE);
        FakeWorker worker = closer.register(new FakeWorker("w1", "dc2", third.workers.address()));
        cluster.apply(SERVICE);
        await("the pool is full", cluster::poolFull);
        pause(200);
        cluster.setPoolFull(false);
        await("both replicas run", () -> worker.starts.size() == 2);
        pause(2_000);

        cluster.apply(JOB.replace("400", "50"));
        await("the job completes", () -> jobState("nightly").equals("completed"));

        assertThat(worker.starts).hasSize(6);
    }

    @Test
    void reportsAJobThatFitsNoWorkerAndRunsTheNextJob() {
        worker("w1");
        cluster.apply(JOB.replace("nightly", "huge").replace("400", "4000") + "---\n" + JOB);

        await("the job that fits completes", () -> jobState("nightly").equals("completed"));
        await(
                "the job that fits no worker is impossible",
                () -> jobState("huge").equals("impossible"));
        assertThat(job("huge").get("reason").asText()).contains("nearest worker has 1000 millicores");
    }

    @Test
    void keepsTheRunningAttemptsAfterTheActingHostIsKilled() {
        FakeCluster.Host third = cluster.addHost("e3", "dc2", LONG_LEASE);
        FakeCluster.Host fourth = cluster.addHost("e4", "dc2", LONG_LEASE);
        FakeWorker worker =
                closer.register(new FakeWorker("w1", "dc2", third.workers.address(), fourth.workers.address()));
        cluster.apply(SERVICE);
        await("both replicas run", () -> worker.starts.size() == 2);

        FakeCluster.Host acting = acts(third) ? third : fourth;
        FakeCluster.Host other = acting == third ? fourth : third;
        assertThat(acts(other)).isFalse();
        acting.kill();
        await("the other host acts", () -> acts(other));

        cluster.apply(JOB.replace("400", "50"));
        await("the new scheduler starts tasks", () -> jobState("nightly").equals("completed"));
        assertThat(worker.starts).hasSize(6);
        assertThat(worker.runs("service/quotes/0") && worker.runs("service/quotes/1"))
                .isTrue();
    }

    @Test
    void hostThatJoinsAfterTheActingHostTakesOverOnlyOnceThatHostIsKilled() {
        FakeCluster.Host third = cluster.addHost("e3", "dc2", LONG_LEASE);
        await("the third host acts", () -> acts(third));
        FakeCluster.Host fourth = cluster.addHost("e4", "dc2", LONG_LEASE);
        FakeWorker worker =
                closer.register(new FakeWorker("w1", "dc2", third.workers.address(), fourth.workers.address()));
        cluster.apply(SERVICE);
        await("both replicas run", () -> worker.starts.size() == 2);
        assertThat(acts(fourth)).isFalse();

        third.kill();
        await("the fourth host acts", () -> acts(fourth));

        cluster.apply(JOB.replace("400", "50"));
        await("the fourth host starts tasks", () -> jobState("nightly").equals("completed"));
        assertThat(worker.starts).hasSize(6);
    }

    @Test
    void movesTasksOfADataCentreWhoseOnlyHostReleasedItsTermAndEnded() {
        FakeCluster.Host third = cluster.addHost("e3", "dc2", SHORT_LEASE);
        FakeWorker lost = closer.register(new FakeWorker("w1", "dc2", third.workers.address()));
        cluster.apply(SERVICE);
        await("both replicas run", () -> lost.runs("service/quotes/0") && lost.runs("service/quotes/1"));

        third.part.drain(Deadline.after(Duration.ofSeconds(1), Ticker.system())).join();
        third.kill();
        FakeWorker next = worker("w2");

        await(
                "both replicas run in the other data centre",
                () -> next.runs("service/quotes/0") && next.runs("service/quotes/1"));
    }

    @Test
    void movesTasksOfASilentWorkerOnceItsLeaseHasExpired() {
        FakeWorker one = worker("w1");
        FakeWorker two = worker("w2");
        one.completesJobs = false;
        two.completesJobs = false;
        cluster.apply(JOB.replace("tasks: 4", "tasks: 1"));
        await("the task runs", () -> running(one, two, "job/nightly/0"));
        FakeWorker silent = one.runs("job/nightly/0") ? one : two;
        FakeWorker next = silent == one ? two : one;
        pause(300);

        silent.paused = true;
        await("the other worker runs it", () -> {
            assertThat(silent.runs("job/nightly/0") && next.runs("job/nightly/0"))
                    .isFalse();
            return next.runs("job/nightly/0");
        });

        assertThat(next.starts).containsExactly("job/nightly/0#2");
        assertThat(next.resumedFrom).containsExactly("job/nightly/0@1");
    }

    @Test
    void cancelsRunningAndWaitingTasks() {
        FakeWorker one = worker("w1");
        one.completesJobs = false;
        cluster.apply(JOB);
        await("two tasks run", () -> one.starts.size() == 2);

        post("/v1/cancel", "{\"changeId\": \"c1\", \"jobs\": [\"nightly\"]}");

        await("all are cancelled", () -> job("nightly").get("cancelled").asInt() == 4);
        assertThat(one.runs("job/nightly/0")).isFalse();
        assertThat(one.starts).hasSize(2);
    }

    @Test
    void reportsWhyATaskWaits() {
        FakeWorker one = worker("w1");
        one.completesJobs = false;
        cluster.apply(JOB);
        await("two tasks run", () -> one.starts.size() == 2);

        await(
                "the reason is known",
                () -> get("/v1/tasks?owner=job/nightly")
                        .toString()
                        .contains("the workers that could run it have no room now"));
    }

    private FakeWorker worker(String id) {
        return closer.register(new FakeWorker(id, "dc1", first.workers.address(), second.workers.address()));
    }

    private static boolean concerns(DataCentreId dataCentre, TaskCommand command) {
        DataCentreId concerned = null;
        if (command instanceof TaskCommand.Acquire acquire) {
            concerned = acquire.dataCentre();
        } else if (command instanceof TaskCommand.Renew renew) {
            concerned = renew.dataCentre();
        } else if (command instanceof TaskCommand.Transitions transitions) {
            concerned = transitions.dataCentre();
        }
        return dataCentre.equals(concerned);
    }

    private static boolean acts(FakeCluster.Host host) {
        return !host.part.status().get("schedulerTerm").equals(0L);
    }

    private static boolean running(FakeWorker one, FakeWorker two, String task) {
        return one.runs(task) || two.runs(task);
    }

    private String jobState(String name) {
        return job(name).path("state").asText();
    }

    private JsonNode job(String name) {
        return get("/v1/jobs/" + name);
    }

    private JsonNode get(String path) {
        return send(HttpRequest.newBuilder(uri(path)).GET().build());
    }

    private void post(String path, String body) {
        send(HttpRequest.newBuilder(uri(path))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build());
    }

    private URI uri(String path) {
        return URI.create("http://127.0.0.1:" + first.operators.address().getPort() + path);
    }

    private static JsonNode send(HttpRequest request) {
        try {
            String body = HttpClient.newHttpClient()
                    .send(request, HttpResponse.BodyHandlers.ofString())
                    .body();
            return Manifests.jsonMapper().readTree(body);
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void await(String expectation, BooleanSupplier condition) {
        long start = System.nanoTime();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - start > TIMEOUT_NANOS) {
                fail(expectation + " did not happen");
            }
            pause(20);
        }
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
