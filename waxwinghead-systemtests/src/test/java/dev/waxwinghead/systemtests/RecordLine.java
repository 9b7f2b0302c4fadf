package dev.waxwinghead.systemtests;

/**
 * Holds one line of the record file to which simulated workers append their events.
 *
 * @param nanos the time of the event by the monotonic clock of the machine, in nanoseconds
 * @param worker the id of the worker
 * @param incarnation the worker's incarnation
 * @param event the name of the event: {@code start}, {@code checkpoint}, {@code completed}, {@code failed},
 *     {@code stopped}, {@code checkpointed}, {@code leaving}, {@code run} for a request with a key, {@code late} for a
 *     late request
 * @param task the id of the task
 * @param attempt the number of the attempt
 * @param detail the checkpoint, key or address that belongs to the event
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
