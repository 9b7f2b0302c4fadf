package dev.waxwinghead.cli.explain;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.waxwinghead.cli.output.Answer;
import dev.waxwinghead.cli.output.Table;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * Holds the log lines that tell of one job, in order: those that name it, and those on schedulers that changed and on
 * workers that were lost while it was open.
 *
 * @since 0.2
 */
public final class JobHistory {
    /** Lines that touch every job that is open. */
    private static final Set<String> ON_ALL_JOBS =
            Set.of("scheduler-acting", "scheduler-resigned", "clock-step", "operator-change");

    private static final double MILLIS_PER_SECOND = 1000;

    private final String job;
    private final List<LogLine> lines;

    private JobHistory(String job, List<LogLine> lines) {
        this.job = job;
        this.lines = lines;
    }

    /**
     * Picks the lines on a job.
     *
     * @param job the job's id
     * @param logs the lines of all hosts, in any order
     * @return the history, never null; empty if no line names the job
     */
    public static JobHistory of(String job, List<String> logs) {
        List<LogLine> all = logs.stream()
                .flatMap(text -> LogLine.parse(text).stream())
                .sorted(Comparator.comparingLong(LogLine::epochMillis))
                .toList();
        List<LogLine> own = all.stream().filter(line -> line.isAbout(job)).toList();
        if (own.isEmpty()) {
            return new JobHistory(job, own);
        }
        long from = own.get(0).epochMillis();
        long to = own.get(own.size() - 1).epochMillis();
        Set<String> workers = new HashSet<>();
        own.forEach(line -> workers.add(line.text("worker")));
        List<LogLine> lines = all.stream()
                .filter(line -> line.epochMillis() >= from && line.epochMillis() <= to)
                .filter(line -> line.isAbout(job)
                        || ON_ALL_JOBS.contains(line.event())
                        || (line.event().equals("worker-gone") && workers.contains(line.text("worker"))))
                .toList();
        return new JobHistory(job, lines);
    }

    /**
     * Tells whether no line names the job.
     *
     * @return true if there is nothing to tell
     */
    public boolean isEmpty() {
        return lines.isEmpty();
    }

    /**
     * Returns the decisions in order, and what they come to.
     *
     * @return the answer, never null
     */
    public Answer answer() {
        List<String> findings = JobFindings.of(lines);
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("job", job);
        ArrayNode rows = json.putArray("lines");
        Table table = Table.of("SECONDS", "EVENT", "WHAT");
        long start = lines.get(0).epochMillis();
        for (LogLine line : lines) {
            rows.addObject()
                    .put("at", line.epochMillis())
                    .put("event", line.event())
                    .setAll(line.fields());
            double seconds = (line.epochMillis() - start) / MILLIS_PER_SECOND;
            table.row(String.format(Locale.ROOT, "%.3f", seconds), line.event(), line.what());
        }
        findings.forEach(json.putArray("findings")::add);
        return Answer.of(json, table.text() + "\n" + String.join("\n", findings) + "\n");
    }
}
