import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A stand-in for a worker that gets its orders in the answers to its status reports.
 *
 * <p>The {@code spec} of a submission tells what its tasks do, as words: {@code work=MILLIS} and {@code end=HOW},
 * {@code lasting}, {@code gang=SIZE}, and {@code failing=SUFFIX} for the tasks that fail soon after each start.
 */
final class Worker implements Runnable {
    private static final long REPORT_MILLIS = 1500;
    private static final long END_REPORT_MILLIS = 50;
    private static final int ANSWER_MILLIS = 1000;
    /** When a failing task fails: before it is at work. */
    private static final long FAILS_AFTER_MILLIS = 150;

    private static final Map<String, String> STARTED = new ConcurrentHashMap<>();

    private final String id;
    private final String service;
    private final String address;
    private final List<String> controls;
    private final Thread thread;
    private final Gangs gangs;
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final List<String> finished = new ArrayList<>();
    private final List<Long> finishedNumbers = new ArrayList<>();
    private final Map<String, Long> highestEnded = new LinkedHashMap<>();
    private long born;
    private long sequence;
    private long nextEnd = 1;
    private long fence;
    private long leaseEnd;
    private String reportTo;
    private int nextControl;
    private volatile boolean down;
    private volatile boolean closed;
    private volatile long heldUntil;
    private volatile long drainEnd;

    private static final class Run {
        final String task;
        final long attempt;
        final long startedNanos = System.nanoTime();
        final long workMillis;
        final String end;
        final boolean lasting;
        final boolean gang;
        final boolean failing;

        Run(String task, long attempt, String spec) {
            this.task = task;
            this.attempt = attempt;
            this.workMillis = Long.parseLong(word(spec, "work", "1000"));
            this.end = word(spec, "end", "done");
            this.lasting = spec.contains("lasting");
            this.gang = spec.contains("gang=");
            this.failing = task.endsWith(word(spec, "failing", "none"));
        }

        long age() {
            return (System.nanoTime() - startedNanos) / 1_000_000;
        }
    }

    Worker(int number, Cluster cluster, String service, Gangs gangs) {
        this.id = "i-" + (1000 + number);
        this.service = service;
        this.address = cluster.workerHost(number) + ":8080";
        this.controls = List.of(cluster.control(0), cluster.control(1), cluster.control(2));
        this.nextControl = number % controls.size();
        this.gangs = gangs;
        this.born = System.currentTimeMillis();
        this.thread = new Thread(this, id);
        thread.setDaemon(true);
    }

    static String word(String spec, String name, String otherwise) {
        for (String word : spec.split(" ")) {
            if (word.startsWith(name + "=")) {
                return word.substring(name.length() + 1);
            }
        }
        return otherwise;
    }

    String id() {
        return id;
    }

    void start() {
        thread.start();
    }

    void close() {
        closed = true;
    }

    /** Reports that the worker drains, and leaves after some time. */
    void leave(long millis) {
        drainEnd = System.nanoTime() + millis * 1_000_000;
        Record.line("worker %s drains and leaves after %d ms", id, millis);
    }

    synchronized boolean idle() {
        return !down && running.isEmpty();
    }

    /** Returns whether a run of a task has ever started on any worker. */
    static boolean hasStarted(String task) {
        return STARTED.containsKey(task);
    }

    /** Returns the worker and the run of the latest start of a task, empty if there was none. */
    static String lastStart(String task) {
        return STARTED.getOrDefault(task, "");
    }

    synchronized boolean runs(String task) {
        return !down && running.containsKey(task);
    }

    /** The process dies and loses all that it runs, holds and knows. */
    synchronized void crash() {
        Record.line("worker %s crashes while it runs %s", id, running.keySet());
        down = true;
        running.values().forEach(run -> gangs.gone(run.task, run.attempt));
        running.clear();
        finished.clear();
        finishedNumbers.clear();
        highestEnded.clear();
        nextEnd = 1;
        fence = 0;
        sequence = 0;
        reportTo = null;
    }

    /** The process starts again under its id. */
    synchronized void restart() {
        born = System.currentTimeMillis();
        down = false;
        Record.line("worker %s is up again, born %d", id, born);
    }

    /** Holds status reports up on their way for some time. */
    void holdReports(long millis) {
        heldUntil = System.nanoTime() + millis * 1_000_000;
        Record.line("status reports of worker %s are %d ms late", id, millis);
    }

    @Override
    public void run() {
        while (!closed) {
            try {
                pause(Math.max(20, reportOnce()));
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Waits until the next report is due; that is 50 ms after an end. */
    private void pause(long millis) throws InterruptedException {
        long end = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() - end < 0) {
            Thread.sleep(10);
            synchronized (this) {
                int before = finished.size();
                if (!down) {
                    advance();
                }
                if (finished.size() > before) {
                    end = Math.min(end, System.nanoTime() + END_REPORT_MILLIS * 1_000_000);
                }
            }
        }
    }

    private long reportOnce() throws InterruptedException {
        String body;
        long reportBorn;
        synchronized (this) {
            if (down) {
                return 20;
            }
            advance();
            sequence++;
            body = report();
            reportBorn = born;
        }
        while (System.nanoTime() - heldUntil < 0) {
            Thread.sleep(10);
            synchronized (this) {
                if (down || born != reportBorn) {
                    return 20;
                }
            }
        }
        long sent = System.nanoTime();
        Http.Answer answer = send(body);
        synchronized (this) {
            if (down || born != reportBorn) {
                return 20;
            }
            if (!answer.success()) {
                reportTo = null;
                nextControl++;
                return 100;
            }
            return obey(answer.body(), sent);
        }
    }

    private Http.Answer send(String body) {
        String target = reportTo == null ? controls.get(nextControl % controls.size()) : reportTo;
        String path = "/Instances.Heartbeat/" + id;
        Http.Answer answer = Http.call(target, "POST", path, "", body, ANSWER_MILLIS);
        for (int hop = 0; hop < 2 && answer.status() == 307; hop++) {
            String location = answer.headers().getOrDefault("location", "");
            target = location.substring("http://".length(), location.indexOf('/', "http://".length()));
            answer = Http.call(target, "POST", path, "", body, ANSWER_MILLIS);
        }
        return answer;
    }

    /** Ends what has done its work, and all if the lease has run out. */
    private void advance() {
        boolean lapsed = System.nanoTime() - leaseEnd > 0;
        for (Iterator<Run> runs = running.values().iterator(); runs.hasNext(); ) {
            Run run = runs.next();
            String how = null;
            if (lapsed) {
                how = "lapsed";
            } else if (run.gang) {
                how = gangs.end(run.task, run.attempt);
            } else if (!run.lasting && run.age() >= run.workMillis) {
                how = run.end;
            } else if (run.failing && run.age() >= FAILS_AFTER_MILLIS) {
                how = "failed";
            } else if (run.lasting && !run.end.equals("never") && run.age() >= run.workMillis) {
                how = run.end;
            }
            if (how != null) {
                runs.remove();
                if (run.gang) {
                    gangs.gone(run.task, run.attempt);
                }
                end(run.task, run.attempt, how);
            }
        }
    }

    private void end(String task, long attempt, String how) {
        long number = nextEnd++;
        finishedNumbers.add(number);
        finished.add("[" + number + "," + Json.quote(task) + "," + attempt + "," + Json.quote(how) + ",\"\"]");
        if (!how.equals("refused")) {
            highestEnded.merge(task, attempt, Math::max);
        }
        Record.line("worker %s: run %d of %s ends %s", id, attempt, task, how);
    }

    private String report() {
        List<String> rows = new ArrayList<>();
        for (Run run : running.values()) {
            long percent = run.lasting ? (run.age() > 300 ? 100 : 50) : Math.min(99, 100 * run.age() / run.workMillis);
            if (run.gang && !gangs.complete(run.task, run.attempt)) {
                percent = 0;
            }
            rows.add("[" + Json.quote(run.task) + "," + run.attempt + ",\"\"," + percent + ",500]");
        }
        return "{\"service\":" + Json.quote(service) + ",\"addr\":" + Json.quote(address)
                + ",\"zone\":\"z-a\",\"version\":\"v1\",\"slots\":8,\"cold_left_ms\":0," + state()
                + ",\"capacity\":{\"cpu\":16000,\"mem_mb\":64000,\"gpus\":0},\"labels\":[\"a\",\"r1-1\"]"
                + ",\"machine\":\"m-" + id + "\",\"born\":" + born + ",\"current_ms\":"
                + (System.currentTimeMillis() - born) + ",\"seq\":" + sequence + ",\"running\":[" + String.join(",", rows)
                + "],\"finished\":[" + String.join(",", finished) + "]}";
    }

    private String state() {
        long remaining = Math.max(0, (drainEnd - System.nanoTime()) / 1_000_000);
        return drainEnd == 0
                ? "\"state\":\"ready\""
                : "\"state\":\"draining\",\"remaining_ms\":" + remaining;
    }

    private long obey(String body, long sent) {
        Map<String, Object> answer = Json.object(body);
        long given = answer.containsKey("fence") ? Json.number(answer.get("fence")) : 0;
        if (given < fence) {
            return 100;
        }
        fence = given;
        if (answer.get("beat_addr") instanceof String address) {
            reportTo = address;
        }
        long acked = answer.containsKey("acked_seq") ? Json.number(answer.get("acked_seq")) : 0;
        while (!finishedNumbers.isEmpty() && finishedNumbers.get(0) <= acked) {
            finishedNumbers.remove(0);
            finished.remove(0);
        }
        for (List<Object> stop : Json.rows(answer, "stop")) {
            stop((String) stop.get(0), Json.number(stop.get(1)));
        }
        if (answer.containsKey("hold_ms")) {
            leaseEnd = Math.max(leaseEnd, sent + Json.number(answer.get("hold_ms")) * 1_000_000L);
            for (List<Object> start : Json.rows(answer, "start")) {
                begin((String) start.get(0), Json.number(start.get(1)), (String) start.get(2));
            }
        }
        long pause = answer.containsKey("retry_ms") ? Json.number(answer.get("retry_ms")) : REPORT_MILLIS;
        return finished.isEmpty() ? Math.min(pause, REPORT_MILLIS) : END_REPORT_MILLIS;
    }

    private void begin(String task, long attempt, String spec) {
        Run current = running.get(task);
        if (current != null && current.attempt == attempt) {
            return;
        }
        if (highestEnded.getOrDefault(task, 0L) >= attempt) {
            end(task, attempt, "refused");
            return;
        }
        running.put(task, new Run(task, attempt, spec));
        STARTED.put(task, id + "/" + attempt);
        if (spec.contains("gang=")) {
            gangs.present(
                    task,
                    attempt,
                    Integer.parseInt(word(spec, "gang", "1")),
                    Long.parseLong(word(spec, "work", "1000")));
        }
        Record.line("worker %s: run %d of %s starts", id, attempt, task);
    }

    private void stop(String task, long attempt) {
        Run run = running.get(task);
        if (run != null && run.attempt == attempt) {
            running.remove(task);
            if (run.gang) {
                gangs.gone(task, attempt);
            }
            end(task, attempt, "stopped");
        } else {
            highestEnded.merge(task, attempt, Math::max);
        }
    }
}
