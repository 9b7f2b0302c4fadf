package dev.waxwinghead.cli.explain;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Summarises the log lines about one job in sentences: why the job was refused, late, canceled or failed. */
final class JobFindings {
    private final List<LogLine> lines;
    private final List<String> findings = new ArrayList<>();

    private JobFindings(List<LogLine> lines) {
        this.lines = lines;
    }

    static List<String> of(List<LogLine> lines) {
        JobFindings findings = new JobFindings(lines);
        findings.addRefusals();
        findings.addStartDelay();
        findings.addLongestIdleTime();
        findings.addStopsAndEnds();
        findings.addCrashes();
        findings.addPausedRestarts();
        findings.addOutcome();
        return findings.findings;
    }

    private void addRefusals() {
        for (LogLine line : lines) {
            if (line.event().equals("request-failed")) {
                findings.add("Refused with " + line.text("status") + " (" + line.text("kind") + "): "
                        + line.text("message") + ".");
            }
        }
        if (first("job-accepted").isEmpty()) {
            findings.add("No log line shows that the job was accepted.");
        }
    }

    private void addStartDelay() {
        Optional<LogLine> accepted = first("job-accepted");
        Optional<LogLine> started = first("task-start");
        if (accepted.isPresent() && started.isEmpty()) {
            findings.add("No task of the job was started.");
        }
        if (accepted.isPresent() && started.isPresent()) {
            long millis = started.get().epochMillis() - accepted.get().epochMillis();
            findings.add("The first task was started " + millis + " ms after the job was accepted.");
        }
    }

    /** Adds the longest time after the first start in which no run of the job was in progress. */
    private void addLongestIdleTime() {
        int running = 0;
        long idleSince = 0;
        long longestIdleMillis = 0;
        for (LogLine line : lines) {
            if (line.event().equals("task-start")) {
                longestIdleMillis =
                        Math.max(longestIdleMillis, running == 0 && idleSince > 0 ? line.epochMillis() - idleSince : 0);
                running++;
            } else if (line.event().equals("task-end") || line.event().equals("worker-crashed")) {
                running = Math.max(0, running - 1);
                idleSince = line.epochMillis();
            }
        }
        if (longestIdleMillis > 0) {
            findings.add("Between two runs, no task of the job ran for up to " + longestIdleMillis + " ms.");
        }
    }

    private void addStopsAndEnds() {
        countByField("task-stop", "reason")
                .forEach((reason, count) -> findings.add(count + " runs were stopped: " + reason + "."));
        countByField("task-end", "how").forEach((how, count) -> findings.add(count + " runs ended " + how + "."));
        Map<String, Integer> failed = new TreeMap<>();
        lines.stream()
                .filter(line ->
                        line.event().equals("task-end") && line.text("how").equals("failed"))
                .forEach(line -> failed.merge(line.text("worker"), 1, Integer::sum));
        failed.forEach((worker, count) -> findings.add(count + " of the failed runs were on worker " + worker + "."));
        lines.stream()
                .filter(line -> line.event().equals("worker-gone"))
                .forEach(line ->
                        findings.add("Worker " + line.text("worker") + " was lost: " + line.text("reason") + "."));
    }

    private void addPausedRestarts() {
        countByField("task-restart-paused", "task")
                .forEach((task, count) -> findings.add("The runs of task " + task + " ended soon after their start; "
                        + count + " restarts were delayed."));
    }

    private void addCrashes() {
        for (LogLine line : lines) {
            if (line.event().equals("worker-crashed")) {
                findings.add("Worker " + line.text("worker") + " crashed under task " + line.text("task") + ", attempt "
                        + line.text("attempt") + ".");
            } else if (line.event().equals("job-given-up")) {
                findings.add("The job was given up: " + line.text("crashes") + " workers crashed under task "
                        + line.text("task") + ".");
            }
        }
    }

    private void addOutcome() {
        if (first("job-canceled").isPresent()) {
            findings.add("A caller canceled the job.");
        }
        Optional<LogLine> end = first("job-end");
        if (end.isEmpty()) {
            findings.add("No log line shows that the job has ended.");
            return;
        }
        long millis = end.get().fields().path("millis").asLong();
        long objective = end.get().fields().path("objectiveMillis").asLong();
        findings.add(
                "The job ended in state " + end.get().text("state") + " after " + millis + " ms; its objective was "
                        + objective + " ms" + (millis > objective ? ", so the job was late." : "."));
    }

    private Optional<LogLine> first(String event) {
        return lines.stream().filter(line -> line.event().equals(event)).findFirst();
    }

    private Map<String, Integer> countByField(String event, String field) {
        Map<String, Integer> counts = new TreeMap<>();
        lines.stream()
                .filter(line -> line.event().equals(event))
                .forEach(line -> counts.merge(line.text(field), 1, Integer::sum));
        return counts;
    }
}
