import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A sound worker that takes its orders in the answers to its reports. The specs of the tasks have the form
 * {@code dur=MILLIS cpu=MILLICORES}; a task that lasts has {@code dur=0}.
 */
final class Worker {
    static final long HOLD_MAX_MILLIS = 10_000;
    private static final Pattern SPEC = Pattern.compile("dur=(\\d+) cpu=(\\d+).*");

    /** A run of a task on this worker. */
    static final class Run {
        final String task;
        final long attempt;
        final long durationMillis;
        final long cpu;
        final long startedNanos = System.nanoTime();

        Run(String task, long attempt, String spec) {
            this.task = task;
            this.attempt = attempt;
            Matcher parts = SPEC.matcher(spec);
            boolean known = parts.matches();
            this.durationMillis = known ? Long.parseLong(parts.group(1)) : 1000;
            this.cpu = known ? Long.parseLong(parts.group(2)) : 1000;
        }

        long ranMillis() {
            return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
        }

        boolean done() {
            return durationMillis > 0 && ranMillis() >= durationMillis;
        }

        int percent() {
            return durationMillis == 0 ? (int) Math.min(100, ranMillis() / 4) : (int) Math.min(99, 100 * ranMillis() / durationMillis);
        }
    }

    final String id;
    private final String zone;
    private final String rack;
    private final String address;
    private final long capacity;
    private final List<String> controls;
    private final Record record;

    /** Called with each start; may be null. */
    java.util.function.BiConsumer<Worker, Run> onStart;

    /** Called with each end and how it came; may be null. */
    java.util.function.BiConsumer<Run, String> onEnd;

    private final Map<String, Run> running = new LinkedHashMap<>();
    private final Map<Long, String> finished = new LinkedHashMap<>();
    private final Map<String, Long> barred = new HashMap<>();
    private long nextEnd = 1;
    private long sequence;
    private long born;
    private long highestFence;
    private long leaseEndNanos;
    private String reportAddress;
    private int nextControl;
    private volatile int life;
    private volatile boolean up;

    Worker(String id, String zone, String rack, String address, long capacity, List<String> controls, Record record) {
        this.id = id;
        this.zone = zone;
        this.rack = rack;
        this.address = address;
        this.capacity = capacity;
        this.controls = controls;
        this.record = record;
    }

    synchronized void start() {
        running.clear();
        finished.clear();
        barred.clear();
        nextEnd = 1;
        sequence = 0;
        highestFence = 0;
        reportAddress = null;
        nextControl = Math.abs(id.hashCode() % controls.size());
        born = System.currentTimeMillis();
        up = true;
        int mine = ++life;
        Thread thread = new Thread(() -> work(mine), id);
        thread.setDaemon(true);
        thread.start();
    }

    /** The process of the worker crashes: it sends nothing more, and all that ran on it is gone. */
    synchronized List<String> crash() {
        up = false;
        life++;
        List<String> lost = new ArrayList<>();
        running.values().forEach(run -> lost.add(run.task + " run " + run.attempt + " after " + run.ranMillis() + " ms"));
        running.clear();
        return lost;
    }

    synchronized List<Run> running() {
        return new ArrayList<>(running.values());
    }

    private void work(int mine) {
        while (life == mine) {
            long sentNanos = System.nanoTime();
            long pauseMillis = 200;
            String at;
            String body;
            synchronized (this) {
                if (life != mine) {
                    return;
                }
                settle();
                at = reportAddress != null ? reportAddress : controls.get(nextControl);
                body = report();
            }
            try {
                Http.Response response =
                        Http.call(at, "POST", "/Instances.Heartbeat/" + id, null, body, 1000);
                boolean inTime = System.nanoTime() - sentNanos < TimeUnit.SECONDS.toNanos(1);
                synchronized (this) {
                    if (life != mine) {
                        return;
                    }
                    if (response.status() / 100 == 2 && inTime) {
                        pauseMillis = obey(Json.object(response.body()), sentNanos);
                    } else {
                        next();
                    }
                }
            } catch (IOException | RuntimeException e) {
                synchronized (this) {
                    next();
                }
                pauseMillis = 50;
            }
            pause(mine, pauseMillis);
        }
    }

    private void next() {
        reportAddress = null;
        nextControl = (nextControl + 1) % controls.size();
    }

    /** Waits for the next report, which an end brings forward. */
    private void pause(int mine, long millis) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (life == mine && System.nanoTime() < end) {
            try {
                Thread.sleep(10);
            } catch (InterruptedException e) {
                return;
            }
            synchronized (this) {
                if (life == mine && settle()) {
                    end = Math.min(end, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(50));
                }
            }
        }
    }

    /** Ends the runs that are done, or all when the lease has expired. */
    private boolean settle() {
        boolean ended = false;
        boolean lapsed = !running.isEmpty() && System.nanoTime() - leaseEndNanos > 0;
        for (Run run : List.copyOf(running.values())) {
            if (lapsed) {
                end(run.task, run.attempt, "lapsed");
                ended = true;
            } else if (run.done()) {
                end(run.task, run.attempt, "done");
                ended = true;
            }
        }
        return ended;
    }

    private void end(String task, long attempt, String how) {
        Run run = running.remove(task);
        if (onEnd != null) {
            onEnd.accept(run, how);
        }
        barred.merge(task, attempt, Math::max);
        finished.put(nextEnd, "[" + nextEnd + ",\"" + task + "\"," + attempt + ",\"" + how + "\",\"\"]");
        nextEnd++;
        record.line(id + ": end " + task + " run " + attempt + " " + how);
    }

    private String report() {
        List<String> rows = new ArrayList<>();
        running.values().forEach(run -> rows.add(
                "[\"" + run.task + "\"," + run.attempt + ",\"\"," + run.percent() + "," + run.cpu + "]"));
        return "{\"service\":\"" + Cluster.SERVICE + "\",\"addr\":\"" + address + "\",\"zone\":\"" + zone
                + "\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,\"capacity\":{\"cpu\":"
                + capacity + ",\"mem_mb\":64000,\"gpus\":0},\"labels\":[\"a\",\"" + rack + "\"],\"current_ms\":"
                + TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) + ",\"born\":" + born + ",\"seq\":" + ++sequence
                + ",\"running\":[" + String.join(",", rows) + "],\"finished\":[" + String.join(",", finished.values())
                + "]}";
    }

    private long obey(Map<String, Object> answer, long sentNanos) {
        if (answer.get("beat_addr") instanceof String named) {
            reportAddress = named;
        }
        long fence = number(answer, "fence", 0);
        if (fence < highestFence) {
            return 200;
        }
        highestFence = fence;
        long acknowledged = number(answer, "acked_seq", 0);
        finished.keySet().removeIf(number -> number <= acknowledged);
        long hold = number(answer, "hold_ms", 0);
        if (hold > 0) {
            leaseEndNanos = Math.max(
                    leaseEndNanos, sentNanos + TimeUnit.MILLISECONDS.toNanos(Math.min(hold, HOLD_MAX_MILLIS)));
        }
        for (List<?> stop : rows(answer, "stop")) {
            String task = (String) stop.get(0);
            long attempt = (Long) stop.get(1);
            Run run = running.get(task);
            if (run != null && run.attempt == attempt) {
                end(task, attempt, "stopped");
            } else {
                barred.merge(task, attempt, Math::max);
            }
        }
        if (hold > 0) {
            rows(answer, "start").forEach(this::begin);
        }
        return number(answer, "retry_ms", 200);
    }

    private void begin(List<?> start) {
        String task = (String) start.get(0);
        long attempt = (Long) start.get(1);
        Run present = running.get(task);
        if (present != null && present.attempt == attempt) {
            return;
        }
        Run run = new Run(task, attempt, (String) start.get(2));
        long used = running.values().stream().mapToLong(each -> each.cpu).sum();
        if (present != null || attempt <= barred.getOrDefault(task, 0L) || used + run.cpu > capacity) {
            finished.put(nextEnd, "[" + nextEnd + ",\"" + task + "\"," + attempt + ",\"refused\",\"\"]");
            nextEnd++;
            record.line(id + ": refused " + task + " run " + attempt);
            return;
        }
        running.put(task, run);
        record.line(id + ": start " + task + " run " + attempt);
        if (onStart != null) {
            onStart.accept(this, run);
        }
    }

    private static long number(Map<String, Object> map, String field, long otherwise) {
        return map.get(field) instanceof Long value ? value : otherwise;
    }

    @SuppressWarnings("unchecked")
    private static List<List<?>> rows(Map<String, Object> map, String field) {
        return map.get(field) instanceof List<?> list ? (List<List<?>>) (List<?>) list : List.of();
    }

    boolean up() {
        return up;
    }
}
