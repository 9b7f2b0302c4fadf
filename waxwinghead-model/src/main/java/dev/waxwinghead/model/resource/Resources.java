package dev.waxwinghead.model.resource;

import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;

/**
 * Holds exact amounts of processor time, memory and accelerators.
 *
 * @param millicores processor time, in thousandths of a core; not negative
 * @param memoryBytes memory, in bytes; not negative
 * @param accelerators the number of whole accelerators; not negative
 * @since 0.1
 */
public record Resources(long millicores, long memoryBytes, long accelerators) {
    /** No resources at all. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /** Validates the amounts. */
    public Resources {
        checkNotNegative(millicores, "millicores");
        checkNotNegative(memoryBytes, "memoryBytes");
        checkNotNegative(accelerators, "accelerators");
    }

    /**
     * Creates resources with the given amounts.
     *
     * @param millicores processor time, in thousandths of a core
     * @param memoryBytes memory, in bytes
     * @param accelerators the number of whole accelerators
     * @return the resources, never null
     * @throws WaxwingheadException if an amount is negative
     */
    public static Resources of(long millicores, long memoryBytes, long accelerators) {
        return new Resources(millicores, memoryBytes, accelerators);
    }

    /**
     * Returns the sum of these and the other resources.
     *
     * @param other the resources to add
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
     * Returns the difference of these and the other resources.
     *
     * @param other the resources to subtract
     * @return the difference, never null
     * @throws WaxwingheadException if an amount of the difference is negative
     */
    public Resources minus(Resources other) {
        return new Resources(
                millicores - other.millicores, memoryBytes - other.memoryBytes, accelerators - other.accelerators);
    }

    /**
     * Returns whether these resources fit into the available resources.
     *
     * @param available the available resources
     * @return true if no amount is larger than the available amount
     */
    public boolean fitsIn(Resources available) {
        return millicores <= available.millicores
                && memoryBytes <= available.memoryBytes
                && accelerators <= available.accelerators;
    }

    /**
     * Returns how far these resources exceed the available resources.
     *
     * @param available the available resources
     * @return the sum of the missing fractions of the three amounts, from 0 (these resources fit) to 3
     */
    public double shortfall(Resources available) {
        return shortfall(millicores, available.millicores)
                + shortfall(memoryBytes, available.memoryBytes)
                + shortfall(accelerators, available.accelerators);
    }

    /**
     * Returns a description for messages.
     *
     * @return the amounts with their units, never null
     */
    public String describe() {
        return millicores + " millicores, " + memoryBytes + " bytes and " + accelerators + " accelerators";
    }

    private static double shortfall(long needed, long available) {
        return needed <= available ? 0 : (double) (needed - available) / needed;
    }

    private static void checkNotNegative(long amount, String name) {
        if (amount < 0) {
            throw WaxwingheadException.of(
                    ErrorKind.INVALID_INPUT, name + " is " + amount, "give an amount of 0 or more");
        }
    }
}
