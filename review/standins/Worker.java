import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in for a worker that follows the users' page on the running of tasks. */
final class Worker {
    private static final int STARTUP_MS = 300;
    private static final int GANG_MS = 3_000;
    private static final int CHECKPOINT_MS = 500;

    /** How long a stop takes; the users' page allows up to the bound {@code stop_ms}. */
    private static final int STOP_TAKES_MS = 300;

    final String id;
    final String address;
    private final long born = System.currentTimeMillis();
    private final Fleet fleet;
    private final Runs runs;
    private final Gangs gangs;
    private final Recorder recorder;
    private final int cpu;
    private final Link link = new Link();
    private final Map<String, Runs.Run> running = new TreeMap<>();
    private final Map<String, Long> stopDueNanos = new HashMap<>();
    private final Map<String, Integer> highestOver = new HashMap<>();
    private final List<End> ends = new ArrayList<>();
    private final Thread reporter;
    private final Thread ticker;
    private String target;
    private int nextTarget;
    private long sequence;
    private long endNumber;
    private long fence;
    private long leaseEndNanos;
    private long retryMillis = 200;
    private boolean endUnreported;
    private volatile boolean draining;
    private volatile boolean drainingAcknowledged;
    private volatile boolean leaves;
    private volatile boolean over;

    Worker(String id, String address, int cpu, Fleet fleet, Runs runs, Gangs gangs) {
        this.id = id;
        this.address = address;
        this.cpu = cpu;
        this.fleet = fleet;
        this.runs = runs;
        this.gangs = gangs;
        this.recorder = fleet.recorder;
        this.reporter = new Thread(this::reportLoop, "worker-" + id);
        this.ticker = new Thread(this::tickLoop, "tasks-" + id);
        reporter.setDaemon(true);
        ticker.setDaemon(true);
    }

    Worker start() {
        reporter.start();
        ticker.start();
        recorder.write("worker %s: starts at %s", id, address);
        return this;
    }

    Link link() {
        return link;
    }

    /** Ends at once, as after a kill: everything that runs is lost, and nothing more is sent. */
    void crash() throws IOException {
        recorder.write("worker %s: crashes", id);
        end("lost with the worker");
    }

    private synchronized void end(String how) throws IOException {
        over = true;
        for (Runs.Run run : new ArrayList<>(running.values())) {
            if (run.spec.gang() > 0) {
                gangs.breakUp(run);
            }
            runs.end(run, how, "");
        }
        running.clear();
        link.close();
    }

    /** Reports that it is draining until that is acknowledged. */
    void drain() throws InterruptedException {
        draining = true;
        while (!drainingAcknowledged) {
            Thread.sleep(20);
        }
        recorder.write("worker %s: draining is acknowledged", id);
    }

    /**
     * Sends that it leaves and exits. Without an acknowledgement it tries again, and exits anyway after a time.
     *
     * @param patienceMillis the time until it exits without an acknowledgement
     */
    void leave(long patienceMillis) throws Exception {
        leaves = true;
        reporter.join();
        long until = System.nanoTime() + patienceMillis * 1_000_000;
        boolean acknowledged = false;
        while (!acknowledged && System.nanoTime() < until) {
            recorder.write("worker %s: sends that it leaves", id);
            HttpResponse<String> response = post("/Instances.Leave/" + id, "{\"born\":" + born + "}");
            acknowledged = response != null && response.statusCode() == 200;
            recorder.write("worker %s: leave %s", id, acknowledged ? "is acknowledged" : "is not acknowledged");
            if (!acknowledged) {
                Thread.sleep(200);
            }
        }
        recorder.write("worker %s: exits", id);
        end("ended by the exit");
    }

    private void tickLoop() {
        try {
            while (!over) {
                tick();
                Thread.sleep(20);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void tick() {
        long now = System.nanoTime();
        for (Runs.Run run : new ArrayList<>(running.values())) {
            if (now - leaseEndNanos > 0) {
                finish(run, "lapsed");
            } else if (stopDueNanos.containsKey(run.task) && now - stopDueNanos.get(run.task) > 0) {
                finish(run, "stopped");
            } else if (run.spec.gang() > 0 && gangs.isBroken(run)) {
                finish(run, "broken");
            } else if (run.spec.gang() > 0 && gangs.completeNanos(run) == 0 && now - run.beginNanos > GANG_MS * 1_000_000L) {
                finish(run, "alone");
            } else if (!run.spec.lasts() && doneMillis(run) >= run.spec.workMillis()) {
                finish(run, "done");
            }
        }
    }

    /** Returns the work done by a run, with that of its checkpoint. */
    private long doneMillis(Runs.Run run) {
        long since = run.spec.gang() > 0 ? gangs.completeNanos(run) : run.beginNanos;
        long before = run.spec.gang() > 0 ? gangs.startMillis(run) : run.startMillis();
        return since == 0 ? before : before + (System.nanoTime() - since) / 1_000_000;
    }

    private String saved(Runs.Run run) {
        long steps = doneMillis(run) / CHECKPOINT_MS;
        return run.spec.checkpoints() && steps > 0 ? "w" + steps * CHECKPOINT_MS : run.checkpoint;
    }

    private void finish(Runs.Run run, String how) {
        if (run.spec.gang() > 0 && !how.equals("done")) {
            gangs.breakUp(run);
        }
        running.remove(run.task);
        stopDueNanos.remove(run.task);
        highestOver.merge(run.task, run.attempt, Math::max);
        String saved = saved(run);
        runs.end(run, how, saved);
        listEnd(run.task, run.attempt, how, saved);
    }

    private void listEnd(String task, int attempt, String how, String saved) {
        ends.add(new End(++endNumber, task, attempt, how, saved));
        endUnreported = true;
    }

    private void reportLoop() {
        try {
            while (!over && !leaves) {
                report();
                pause();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void pause() throws InterruptedException {
        long until = System.nanoTime() + retryMillis * 1_000_000;
        while (System.nanoTime() < until && !over && !leaves) {
            synchronized (this) {
                if (endUnreported) {
                    until = Math.min(until, System.nanoTime() + 50_000_000);
                    endUnreported = false;
                }
            }
            Thread.sleep(10);
        }
    }

    private void report() throws InterruptedException {
        String body;
        boolean reportsDraining = draining;
        synchronized (this) {
            endUnreported = false;
            body = body(reportsDraining);
        }
        long sent = System.nanoTime();
        HttpResponse<String> response = post("/Instances.Heartbeat/" + id, body);
        boolean late = System.nanoTime() - sent > 1_000_000_000L;
        if (response == null || late || response.statusCode() != 200) {
            target = null;
            return;
        }
        try {
            obey(Fleet.parse(response.body()), sent);
            drainingAcknowledged |= reportsDraining;
        } catch (IOException e) {
            target = null;
        }
    }

    private String body(boolean reportsDraining) {
        ObjectNode node = Fleet.JSON.createObjectNode();
        node.put("service", Fleet.SERVICE).put("addr", address).put("zone", "zone-a").put("version", "v1");
        node.put("slots", 8).put("state", reportsDraining ? "draining" : "ready").put("cold_left_ms", 0);
        node.putObject("capacity").put("cpu", cpu).put("mem_mb", 64_000).put("gpus", 0);
        node.putArray("labels").add("a").add("r1-1");
        node.put("current_ms", System.currentTimeMillis()).put("seq", ++sequence).put("born", born);
        if (reportsDraining) {
            node.put("remaining_ms", Bounds.DRAIN_MS);
        }
        ArrayNode rows = node.putArray("running");
        for (Runs.Run run : running.values()) {
            rows.addArray().add(run.task).add(run.attempt).add(saved(run)).add(percent(run)).add(run.spec.cpu());
        }
        ArrayNode ended = node.putArray("finished");
        for (End end : ends) {
            ended.addArray().add(end.number).add(end.task).add(end.attempt).add(end.how).add(end.saved);
        }
        return node.toString();
    }

    private int percent(Runs.Run run) {
        if (run.spec.lasts()) {
            return System.nanoTime() - run.beginNanos > STARTUP_MS * 1_000_000L ? 100 : 0;
        }
        return (int) Math.min(99, 100 * doneMillis(run) / Math.max(1, run.spec.workMillis()));
    }

    private synchronized void obey(JsonNode answer, long sentNanos) {
        if (over) {
            return;
        }
        if (answer.has("beat_addr")) {
            target = answer.get("beat_addr").asText();
        }
        retryMillis = answer.path("retry_ms").asLong(200);
        ends.removeIf(end -> end.number <= answer.path("acked_seq").asLong(0));
        if (answer.path("fence").asLong(0) < fence) {
            return;
        }
        fence = answer.path("fence").asLong(0);
        for (JsonNode stop : answer.path("stop")) {
            stop(stop.get(0).asText(), stop.get(1).asInt());
        }
        if (!answer.has("hold_ms")) {
            return;
        }
        long hold = Math.min(Bounds.LEASE_MAX_MS, answer.get("hold_ms").asLong());
        leaseEndNanos = Math.max(leaseEndNanos, sentNanos + hold * 1_000_000);
        for (JsonNode start : answer.path("start")) {
            begin(start.get(0).asText(), start.get(1).asInt(), start.get(2).asText(), start.get(3).asText());
        }
    }

    private void stop(String task, int attempt) {
        Runs.Run run = running.get(task);
        if (run != null && run.attempt <= attempt) {
            stopDueNanos.putIfAbsent(task, System.nanoTime() + STOP_TAKES_MS * 1_000_000L);
        }
        highestOver.merge(task, attempt, Math::max);
    }

    private void begin(String task, int attempt, String text, String checkpoint) {
        if (running.containsKey(task) && running.get(task).attempt >= attempt) {
            return;
        }
        if (attempt <= highestOver.getOrDefault(task, 0)) {
            return;
        }
        Spec spec = Spec.parse(text);
        int used = running.values().stream().mapToInt(run -> run.spec.cpu()).sum();
        if (used + spec.cpu() > cpu) {
            highestOver.merge(task, attempt, Math::max);
            listEnd(task, attempt, "refused", "");
            return;
        }
        Runs.Run run = runs.begin(task, attempt, id, spec, checkpoint);
        running.put(task, run);
        if (spec.gang() > 0) {
            gangs.join(run);
        }
    }

    /** Sends a call to the host that the last answer named, otherwise to the next one, and follows two redirects. */
    private HttpResponse<String> post(String path, String body) throws InterruptedException {
        String host = target != null ? target : fleet.coreAddresses().get(nextTarget++ % 3);
        for (int hop = 0; hop < 3; hop++) {
            HttpResponse<String> response = send(host, path, body);
            if (response == null || response.statusCode() != 307) {
                return response;
            }
            host = URI.create(response.headers().firstValue("Location").orElseThrow()).getAuthority();
            target = host;
        }
        return null;
    }

    private HttpResponse<String> send(String host, String path, String body) throws InterruptedException {
        try {
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + link.through(host) + path))
                    .timeout(Duration.ofSeconds(1))
                    .header("Content-Type", "application/json")
                    .POST(HttpRequest.BodyPublishers.ofString(body))
                    .build();
            return fleet.http.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (IOException e) {
            return null;
        }
    }

    private record End(long number, String task, int attempt, String how, String saved) {}
}
