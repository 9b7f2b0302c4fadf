package dev.waxwinghead.cli.command;

import com.github.rvesse.airline.annotations.Option;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.ChangeId;
import java.util.List;
import java.util.UUID;

/**
 * Defines the options of every command that sends a change.
 *
 * @since 0.1
 */
public final class ChangeOptions {
    @Option(
            name = "--change-id",
            title = "id",
            description = "Names the change, so that a resend is recognised (default: a new random id)")
    String changeId;

    /** Creates the options with their defaults. */
    public ChangeOptions() {}

    /** Returns the id that all resends of this change carry; adds a problem and returns null if it is malformed. */
    ChangeId changeId(List<String> problems) {
        if (changeId == null) {
            changeId = UUID.randomUUID().toString();
        }
        try {
            return ChangeId.of(changeId);
        } catch (WaxwingheadException e) {
            problems.add("--change-id: " + e.getMessage());
            return null;
        }
    }
}
