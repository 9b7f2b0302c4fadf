package dev.waxwinghead.model.resource;

import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;

/**
 * Holds exact amounts of processors, memory and accelerators.
 *
 * @param millicores processor time, in thousandths of a core; not negative
 * @param memoryBytes memory, in bytes; not negative
 * @param accelerators whole accelerators; not negative
 * @since 0.1
 */
public record Resources(long millicores, long memoryBytes, long accelerators) {
    /** No resources at all. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /** Checks the amounts. */
    public Resources {
        checkNotNegative(millicores, "millicores");
        checkNotNegative(memoryBytes, "memoryBytes");
        checkNotNegative(accelerators, "accelerators");
    }

    /**
     * Returns the given amounts.
     *
     * @param millicores processor time, in thousandths of a core
     * @param memoryBytes memory, in bytes
     * @param accelerators whole accelerators
     * @return the amounts, never null
     * @throws WaxwingheadException if an amount is negative
     */
    public static Resources of(long millicores, long memoryBytes, long accelerators) {
        return new Resources(millicores, memoryBytes, accelerators);
    }

    /**
     * Returns the sum of both amounts.
     *
     * @param other the amounts to add
     * @return the sum, never null
     * @throws ArithmeticException if an amount overflows
     */
    public Resources plus(Resources other) {
        return new Resources(
                Math.addExact(millicores, other.millicores),
                Math.addExact(memoryBytes, other.memoryBytes),
                Math.addExact(accelerators, other.accelerators));
    }

    /**
     * Returns what is left after taking the other amounts away.
     *
     * @param other the amounts to take away
     * @return the difference, never null
     * @throws WaxwingheadException if an amount becomes negative
     */
    public Resources minus(Resources other) {
        return new Resources(
                millicores - other.millicores, memoryBytes - other.memoryBytes, accelerators - other.accelerators);
    }

    /**
     * Tells whether these amounts fit into the other amounts.
     *
     * @param available the amounts to fit into
     * @return true if no amount is larger than its counterpart
     */
    public boolean fitsIn(Resources available) {
        return millicores <= available.millicores
                && memoryBytes <= available.memoryBytes
                && accelerators <= available.accelerators;
    }

    /**
     * Returns how far these amounts are from fitting into the other amounts.
     *
     * @param available the amounts to fit into
     * @return the sum over all amounts of the missing part of each, from 0 (fits) to 3
     */
    public double shortfall(Resources available) {
        return shortfall(millicores, available.millicores)
                + shortfall(memoryBytes, available.memoryBytes)
                + shortfall(accelerators, available.accelerators);
    }

    /**
     * Returns the amounts in words.
     *
     * @return the amounts with their units, never null
     */
    public String describe() {
        return millicores + " millicores, " + memoryBytes + " bytes and " + accelerators + " accelerators";
    }

    private static double shortfall(long need, long available) {
        return need <= available ? 0 : (double) (need - available) / need;
    }

    private static void checkNotNegative(long amount, String name) {
        if (amount < 0) {
            throw WaxwingheadException.of(
                    ErrorKind.INVALID_INPUT, name + " is " + amount, "give an amount of 0 or more");
        }
    }
}
