package dev.waxwinghead.cli.explain;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.waxwinghead.cli.output.CommandResult;
import dev.waxwinghead.cli.output.Table;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * Represents the log lines that concern one job, in order of time: lines about the job itself and, between the first
 * and the last of these, lines about events that concern every job and about lost workers that ran the job.
 *
 * @since 0.2
 */
public final class JobHistory {
    /** Events that concern every open job. */
    private static final Set<String> EVENTS_OF_ALL_JOBS =
            Set.of("scheduler-acting", "scheduler-resigned", "clock-step", "operator-change");

    private static final double MILLIS_PER_SECOND = 1000;

    private final String job;
    private final List<LogLine> lines;

    private JobHistory(String job, List<LogLine> lines) {
        this.job = job;
        this.lines = lines;
    }

    /**
     * Selects the lines that concern a job.
     *
     * @param job the job's id
     * @param logs the log lines of all hosts, in any order
     * @return the history, never null; empty if no line mentions the job
     */
    public static JobHistory of(String job, List<String> logs) {
        List<LogLine> all = logs.stream()
                .flatMap(text -> LogLine.parse(text).stream())
                .sorted(Comparator.comparingLong(LogLine::epochMillis))
                .toList();
        List<LogLine> jobLines = all.stream().filter(line -> line.isAbout(job)).toList();
        if (jobLines.isEmpty()) {
            return new JobHistory(job, jobLines);
        }
        long startMillis = jobLines.get(0).epochMillis();
        long endMillis = jobLines.get(jobLines.size() - 1).epochMillis();
        Set<String> workers = new HashSet<>();
        jobLines.forEach(line -> workers.add(line.text("worker")));
        List<LogLine> lines = all.stream()
                .filter(line -> line.epochMillis() >= startMillis && line.epochMillis() <= endMillis)
                .filter(line -> line.isAbout(job)
                        || EVENTS_OF_ALL_JOBS.contains(line.event())
                        || (line.event().equals("worker-gone") && workers.contains(line.text("worker"))))
                .toList();
        return new JobHistory(job, lines);
    }

    /**
     * Returns whether no line mentions the job.
     *
     * @return true if the history is empty
     */
    public boolean isEmpty() {
        return lines.isEmpty();
    }

    /**
     * Returns the lines in order, followed by a summary.
     *
     * @return the result, never null
     */
    public CommandResult result() {
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
            table.row(String.format(Locale.ROOT, "%.3f", seconds), line.event(), line.fieldPairs());
        }
        findings.forEach(json.putArray("findings")::add);
        return CommandResult.of(json, table.text() + "\n" + String.join("\n", findings) + "\n");
    }
}
