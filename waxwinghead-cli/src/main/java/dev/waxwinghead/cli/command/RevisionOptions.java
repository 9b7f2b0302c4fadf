package dev.waxwinghead.cli.command;

import com.github.rvesse.airline.annotations.Option;
import java.util.List;

/**
 * Defines the options of commands that change the configuration.
 *
 * @since 0.1
 */
public final class RevisionOptions {
    @Option(
            name = "--expected-revision",
            title = "number",
            description = "Change only this revision of the configuration (default: whatever is in force)")
    String expectedRevision;

    /** Creates the options with their defaults. */
    public RevisionOptions() {}

    /** Returns the expected revision, null if none was given; adds a problem and returns null if it is malformed. */
    Long expectedRevision(List<String> problems) {
        if (expectedRevision == null) {
            return null;
        }
        try {
            long revision = Long.parseLong(expectedRevision);
            if (revision >= 0) {
                return revision;
            }
        } catch (NumberFormatException e) {
            // Reported below together with negative numbers.
        }
        problems.add("--expected-revision is '" + expectedRevision
                + "': not a revision; give a whole number of 0 or more, as 'status' shows it");
        return null;
    }
}
