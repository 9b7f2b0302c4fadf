package dev.waxwinghead.cli.command;

import com.github.rvesse.airline.annotations.Option;
import dev.waxwinghead.cli.output.OutputFormat;
import java.util.List;

/**
 * Defines the options for the output format.
 *
 * @since 0.2
 */
public final class OutputOptions {
    @Option(
            name = {"-o", "--output"},
            title = "table|json",
            description = "How the answer is shown (default: table)")
    String output = "table";

    /** Creates the options with their defaults. */
    public OutputOptions() {}

    OutputFormat format() {
        return OutputFormat.ofName(output).orElse(OutputFormat.TABLE);
    }

    /** Adds a problem for each invalid option. */
    void validate(List<String> problems) {
        if (OutputFormat.ofName(output).isEmpty()) {
            problems.add("--output is '" + output + "': unknown format; give table or json");
        }
    }
}
