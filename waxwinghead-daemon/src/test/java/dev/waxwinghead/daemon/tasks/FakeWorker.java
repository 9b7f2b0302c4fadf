package dev.waxwinghead.daemon.tasks;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import dev.waxwinghead.model.manifest.Manifests;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A worker that polls over HTTP, stops its tasks when its lease expires and records each start.
 *
 * <p>Tasks of jobs complete at once while {@link #completesJobs} is set.
 */
final class FakeWorker implements AutoCloseable {
    private static final ObjectMapper JSON = Manifests.jsonMapper();
    private static final long POLL_MILLIS = 50;

    final Map<String, Map<String, Object>> tasks = new ConcurrentHashMap<>();
    final List<String> starts = java.util.Collections.synchronizedList(new ArrayList<>());
    final List<String> resumedFrom = java.util.Collections.synchronizedList(new ArrayList<>());
    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build();
    private final String id;
    private final String dataCentre;
    private final List<String> entryHosts;
    private final Thread thread;
    private volatile boolean closed;
    volatile boolean paused;
    volatile boolean completesJobs = true;
    private String scheduler;
    private long term;
    private long sequence;
    private long leaseUntil = System.nanoTime();

    FakeWorker(String id, String dataCentre, InetSocketAddress... addresses) {
        this.id = id;
        this.dataCentre = dataCentre;
        this.entryHosts = java.util.Arrays.stream(addresses)
                .map(address -> "127.0.0.1:" + address.getPort())
                .toList();
        this.scheduler = entryHosts.get(0);
        this.thread = new Thread(this::run, "worker-" + id);
        thread.setDaemon(true);
        thread.start();
    }

    boolean runs(String task) {
        Map<String, Object> state = tasks.get(task);
        return state != null && "running".equals(state.get("state"));
    }

    @Override
    public void close() {
        closed = true;
        thread.interrupt();
    }

    private void run() {
        int failures = 0;
        while (!closed) {
            try {
                Thread.sleep(POLL_MILLIS);
                stopWithoutLease();
                if (!paused) {
                    poll();
                }
            } catch (IOException e) {
                scheduler = entryHosts.get(++failures % entryHosts.size());
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void stopWithoutLease() {
        if (System.nanoTime() - leaseUntil >= 0) {
            tasks.values().stream()
                    .filter(task -> "running".equals(task.get("state")))
                    .forEach(task -> task.put("state", "stopped"));
        }
    }

    private void poll() throws IOException, InterruptedException {
        long sent = System.nanoTime();
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + scheduler + "/worker/v1/poll"))
                .timeout(Duration.ofSeconds(1))
                .POST(HttpRequest.BodyPublishers.ofString(JSON.writeValueAsString(body())))
                .build();
        HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
        if (response.statusCode() != 200) {
            throw new IOException(response.body());
        }
        JsonNode answer = JSON.readTree(response.body());
        if (answer.get("schedulerTerm").asLong() < term
                || answer.get("leaseMillis").asLong() == 0) {
            scheduler = answer.get("scheduler").asText();
            return;
        }
        term = answer.get("schedulerTerm").asLong();
        leaseUntil = sent + answer.get("leaseMillis").asLong() * 1_000_000;
        answer.get("commands").forEach(this::execute);
    }

    private Map<String, Object> body() {
        Map<String, Object> capacity = Map.of("millicores", 1_000, "memoryBytes", 1_000, "accelerators", 0);
        Map<String, Object> worker = Map.of(
                "id",
                id,
                "incarnation",
                1,
                "dataCentre",
                dataCentre,
                "rack",
                "r1",
                "capacity",
                capacity,
                "labels",
                Map.of("pool", id));
        return Map.of(
                "worker",
                worker,
                "sequence",
                ++sequence,
                "schedulerTerm",
                term,
                "leaving",
                false,
                "tasks",
                new ArrayList<>(tasks.values()));
    }

    private void execute(JsonNode command) {
        String task = command.get("task").asText();
        int attempt = command.get("attempt").asInt();
        Map<String, Object> known = tasks.get(task);
        switch (command.get("type").asText()) {
            case "start" -> {
                if (known == null || (int) known.get("attempt") < attempt) {
                    starts.add(task + "#" + attempt);
                    resumedFrom.add(command.path("checkpoint").asText("none"));
                    boolean completed = completesJobs && !command.hasNonNull("service");
                    tasks.put(task, report(task, attempt, completed ? "completed" : "running"));
                }
            }
            case "stop" -> {
                if (known != null && "running".equals(known.get("state"))) {
                    known.put("state", "stopped");
                }
            }
            case "acknowledge" -> tasks.remove(task);
            default -> {}
        }
    }

    private static Map<String, Object> report(String task, int attempt, String state) {
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("task", task);
        report.put("attempt", attempt);
        report.put("state", state);
        report.put("checkpoint", task + "@" + attempt);
        return new ConcurrentHashMap<>(report);
    }
}
