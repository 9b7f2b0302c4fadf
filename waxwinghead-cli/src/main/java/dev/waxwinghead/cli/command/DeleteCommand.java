package dev.waxwinghead.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import dev.waxwinghead.cli.client.OperatorClient;
import dev.waxwinghead.cli.output.CommandResult;
import dev.waxwinghead.cli.output.OutputFormat;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.ChangeId;
import dev.waxwinghead.model.manifest.ManifestKey;
import dev.waxwinghead.model.manifest.ManifestKind;
import java.util.ArrayList;
import java.util.List;

/**
 * Deletes manifests of one kind, either all of them or none.
 *
 * @since 0.1
 */
@Command(name = "delete", description = "Takes manifests out of force, all or none")
public final class DeleteCommand implements CliCommand {
    @AirlineModule
    ConnectionOptions connection = new ConnectionOptions();

    @AirlineModule
    ChangeOptions change = new ChangeOptions();

    @AirlineModule
    RevisionOptions revision = new RevisionOptions();

    @Arguments(
            title = {"kind", "name"},
            description = "The kind, and one or more names")
    List<String> arguments = new ArrayList<>();

    /** Creates the command. */
    public DeleteCommand() {}

    @Override
    public CommandResult run(CommandContext context) {
        List<String> problems = new ArrayList<>();
        ArgumentChecks.rejectOptions(arguments, problems);
        ChangeId changeId = change.changeId(problems);
        Long expected = revision.expectedRevision(problems);
        List<String> keys = keys(problems);
        OperatorClient client = connection.client(context, problems);
        JsonNode response = client.post(ChangeBody.PATH, ChangeBody.of(changeId, expected, null, keys));
        return ChangeBody.result(response, changeId, "deleted", keys);
    }

    private List<String> keys(List<String> problems) {
        if (arguments.size() < 2) {
            problems.add("delete has " + arguments.size() + " arguments; give a kind and one or more names");
            return List.of();
        }
        try {
            ManifestKind kind = ManifestKind.ofText(arguments.get(0));
            return arguments.stream()
                    .skip(1)
                    .map(name -> ManifestKey.of(kind, name).toString())
                    .toList();
        } catch (WaxwingheadException e) {
            problems.add(e.getMessage());
            return List.of();
        }
    }

    @Override
    public OutputFormat format() {
        return connection.format();
    }
}
