package dev.waxwinghead.benchmarks.coordination;

import dev.waxwinghead.coordination.log.StateMachine;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;

/** Stores the newest command, and the time at which it was applied, by the number in its first eight bytes. */
final class BenchStateMachine implements StateMachine {
    private final Map<Long, byte[]> commands = new HashMap<>();
    private final Map<Long, Long> appliedNanos = new HashMap<>();

    /** Returns a command of at least eight bytes that begins with its number. */
    static byte[] command(long number, int bytes) {
        return ByteBuffer.allocate(Math.max(Long.BYTES, bytes)).putLong(number).array();
    }

    /** Returns the {@link System#nanoTime()} at which a command was applied, null if it was not. */
    synchronized Long appliedNanos(long number) {
        return appliedNanos.get(number);
    }

    synchronized int size() {
        return commands.size();
    }

    @Override
    public synchronized byte[] apply(long index, byte[] command) {
        long number = ByteBuffer.wrap(command).getLong();
        commands.put(number, command);
        appliedNanos.put(number, System.nanoTime());
        return new byte[0];
    }

    @Override
    public synchronized byte[] snapshot() {
        int bytes = commands.values().stream()
                .mapToInt(c -> c.length + Integer.BYTES)
                .sum();
        ByteBuffer buffer = ByteBuffer.allocate(bytes);
        commands.values().forEach(c -> buffer.putInt(c.length).put(c));
        return buffer.array();
    }

    @Override
    public synchronized void restore(byte[] snapshot) {
        commands.clear();
        ByteBuffer buffer = ByteBuffer.wrap(snapshot);
        while (buffer.hasRemaining()) {
            byte[] command = new byte[buffer.getInt()];
            buffer.get(command);
            commands.put(ByteBuffer.wrap(command).getLong(), command);
        }
    }
}
