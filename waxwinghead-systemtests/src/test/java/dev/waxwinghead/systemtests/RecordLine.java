package dev.waxwinghead.systemtests;

/**
 * Holds one line of the workers' record.
 *
 * @param nanos the machine's monotonic clock
 * @param worker the worker
 * @param incarnation the worker's incarnation
 * @param event what happened: {@code start}, {@code checkpoint}, {@code completed}, {@code failed}, {@code stopped},
 *     {@code checkpointed}, {@code leaving}, {@code run} of a key, {@code late} request
 * @param task the task
 * @param attempt the attempt
 * @param detail the checkpoint, key or address
 */
public record RecordLine(
        long nanos, String worker, long incarnation, String event, String task, int attempt, String detail) {
    static RecordLine parse(String line) {
        String[] parts = line.split("\t", -1);
        return new RecordLine(
                Long.parseLong(parts[0]),
                parts[1],
                Long.parseLong(parts[2]),
                parts[3],
                parts[4],
                Integer.parseInt(parts[5]),
                parts[6]);
    }
}
