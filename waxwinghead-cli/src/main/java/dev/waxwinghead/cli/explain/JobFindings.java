package dev.waxwinghead.cli.explain;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Says in sentences what the log lines on one job come to: why it was refused, late, canceled or failed. */
final class JobFindings {
    private final List<LogLine> lines;
    private final List<String> findings = new ArrayList<>();

    private JobFindings(List<LogLine> lines) {
        this.lines = lines;
    }

    static List<String> of(List<LogLine> lines) {
        JobFindings findings = new JobFindings(lines);
        findings.tellRefusals();
        findings.tellWaits();
        findings.tellStandstill();
        findings.tellRuns();
        findings.tellEnd();
        return findings.findings;
    }

    private void tellRefusals() {
        for (LogLine line : lines) {
            if (line.event().equals("request-failed")) {
                findings.add("Refused with " + line.text("status") + " (" + line.text("kind") + "): "
                        + line.text("message") + ".");
            }
        }
        if (first("job-accepted").isEmpty()) {
            findings.add("No line says that it was accepted.");
        }
    }

    private void tellWaits() {
        Optional<LogLine> accepted = first("job-accepted");
        Optional<LogLine> started = first("task-start");
        if (accepted.isPresent() && started.isEmpty()) {
            findings.add("No task of it was started.");
        }
        if (accepted.isPresent() && started.isPresent()) {
            long millis = started.get().epochMillis() - accepted.get().epochMillis();
            findings.add("Its first task was started " + millis + " ms after it was accepted.");
        }
    }

    /** Tells of the longest time after its first start in which none of its runs was live. */
    private void tellStandstill() {
        int live = 0;
        long since = 0;
        long longest = 0;
        for (LogLine line : lines) {
            if (line.event().equals("task-start")) {
                longest = Math.max(longest, live == 0 && since > 0 ? line.epochMillis() - since : 0);
                live++;
            } else if (line.event().equals("task-end")) {
                live = Math.max(0, live - 1);
                since = line.epochMillis();
            }
        }
        if (longest > 0) {
            findings.add("Between two of its runs nothing of it ran for up to " + longest + " ms.");
        }
    }

    private void tellRuns() {
        count("task-stop", "reason")
                .forEach((reason, times) -> findings.add(times + " runs were stopped: " + reason + "."));
        count("task-end", "how").forEach((how, times) -> findings.add(times + " runs ended " + how + "."));
        Map<String, Integer> failed = new TreeMap<>();
        lines.stream()
                .filter(line ->
                        line.event().equals("task-end") && line.text("how").equals("failed"))
                .forEach(line -> failed.merge(line.text("worker"), 1, Integer::sum));
        failed.forEach((worker, times) -> findings.add(times + " of the failed runs were on worker " + worker + "."));
        lines.stream()
                .filter(line -> line.event().equals("worker-gone"))
                .forEach(line ->
                        findings.add("Worker " + line.text("worker") + " was lost: " + line.text("reason") + "."));
    }

    private void tellEnd() {
        if (first("job-canceled").isPresent()) {
            findings.add("A caller canceled it.");
        }
        Optional<LogLine> end = first("job-end");
        if (end.isEmpty()) {
            findings.add("No line says that it has ended.");
            return;
        }
        long millis = end.get().fields().path("millis").asLong();
        long objective = end.get().fields().path("objectiveMillis").asLong();
        findings.add("It ended " + end.get().text("state") + " after " + millis + " ms; its objective was " + objective
                + " ms" + (millis > objective ? ", so it was late." : "."));
    }

    private Optional<LogLine> first(String event) {
        return lines.stream().filter(line -> line.event().equals(event)).findFirst();
    }

    private Map<String, Integer> count(String event, String field) {
        Map<String, Integer> counts = new TreeMap<>();
        lines.stream()
                .filter(line -> line.event().equals(event))
                .forEach(line -> counts.merge(line.text(field), 1, Integer::sum));
        return counts;
    }
}
