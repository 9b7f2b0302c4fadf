package dev.waxwinghead.benchmarks.tasks;

import java.io.PrintStream;
import java.util.List;

/**
 * Prints what each policy does on each fleet in each scenario, as a table.
 *
 * <p>Arguments: the virtual seconds of a run (5400 if absent), the seed (1 if absent), the names of the fleets and of
 * the scenarios, separated by commas (all scenarios of the users' two fleets if absent).
 */
public final class PolicyBench {
    private static final int DEFAULT_SECONDS = 5_400;

    private PolicyBench() {}

    /**
     * Runs the bench.
     *
     * @param arguments see the class
     */
    public static void main(String[] arguments) {
        int seconds = arguments.length > 0 ? Integer.parseInt(arguments[0]) : DEFAULT_SECONDS;
        long seed = arguments.length > 1 ? Long.parseLong(arguments[1]) : 1;
        List<String> fleets = names(arguments, 2, "seating-33,strings-32");
        List<String> scenarios = names(arguments, 3, "");
        PrintStream out = System.out;
        out.println("| fleet | scenario | policy | p99 / target | core hours per hour | evictions per 1,000 | "
                + "urgent start p99, s | starts |");
        out.println("| --- | --- | --- | --- | --- | --- | --- | --- |");
        for (Fleet fleet : List.of(Fleet.SEATING, Fleet.STRINGS, Fleet.LARGE)) {
            for (Scenario scenario : Scenario.values()) {
                if (fleets.contains(fleet.name()) && (scenarios.isEmpty() || scenarios.contains(scenario.name()))) {
                    runAll(fleet, scenario, seconds, seed, out);
                }
            }
        }
    }

    private static void runAll(Fleet fleet, Scenario scenario, int seconds, long seed, PrintStream out) {
        for (Policy policy : Policy.values()) {
            out.println(PolicyRun.run(fleet, scenario, policy, seconds, seed).row());
        }
    }

    private static List<String> names(String[] arguments, int position, String otherwise) {
        String names = arguments.length > position ? arguments[position] : otherwise;
        return names.isEmpty() ? List.of() : List.of(names.split(",", -1));
    }
}
