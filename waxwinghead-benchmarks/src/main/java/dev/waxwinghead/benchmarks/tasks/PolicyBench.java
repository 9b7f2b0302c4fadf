package dev.waxwinghead.benchmarks.tasks;

import java.io.PrintStream;
import java.util.List;

/**
 * Prints a table with the results of each policy on each fleet in each scenario.
 *
 * <p>Arguments, all optional: the virtual seconds of a run (default 5400), the seed (default 1), the names of the
 * fleets separated by commas (default the users' two fleets), and the names of the scenarios separated by commas
 * (default all).
 */
public final class PolicyBench {
    private static final int DEFAULT_SECONDS = 5_400;

    private PolicyBench() {}

    /**
     * Runs the benchmark.
     *
     * @param arguments the arguments described at the class
     */
    public static void main(String[] arguments) {
        int seconds = arguments.length > 0 ? Integer.parseInt(arguments[0]) : DEFAULT_SECONDS;
        long seed = arguments.length > 1 ? Long.parseLong(arguments[1]) : 1;
        List<String> fleets = parseNames(arguments, 2, "seating-33,strings-32");
        List<String> scenarios = parseNames(arguments, 3, "");
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
            out.println(PolicyRun.run(fleet, scenario, policy, seconds, seed).toTableRow());
        }
    }

    private static List<String> parseNames(String[] arguments, int position, String defaultNames) {
        String names = arguments.length > position ? arguments[position] : defaultNames;
        return names.isEmpty() ? List.of() : List.of(names.split(",", -1));
    }
}
