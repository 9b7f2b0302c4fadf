package dev.waxwinghead.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import dev.waxwinghead.cli.client.OperatorClient;
import dev.waxwinghead.cli.output.CommandResult;
import dev.waxwinghead.cli.output.OutputFormat;
import dev.waxwinghead.model.id.ChangeId;
import dev.waxwinghead.model.manifest.Manifests;
import java.util.ArrayList;
import java.util.List;

/**
 * Applies the manifests of a file, either all of them or none.
 *
 * @since 0.1
 */
@Command(name = "apply", description = "Puts the manifests of a YAML file in force, all or none")
public final class ApplyCommand implements CliCommand {
    @AirlineModule
    ConnectionOptions connection = new ConnectionOptions();

    @AirlineModule
    ChangeOptions change = new ChangeOptions();

    @AirlineModule
    RevisionOptions revision = new RevisionOptions();

    @Required
    @Option(
            name = {"-f", "--file"},
            title = "file",
            description = "The file with the manifests; - for the standard input")
    String file;

    /** Creates the command. */
    public ApplyCommand() {}

    @Override
    public CommandResult run(CommandContext context) {
        List<String> problems = new ArrayList<>();
        ChangeId changeId = change.changeId(problems);
        Long expected = revision.expectedRevision(problems);
        OperatorClient client = connection.client(context, problems);
        String text = FileText.read(file, context.input());
        List<String> keys = Manifests.readYaml(text).stream()
                .map(manifest -> manifest.key().toString())
                .toList();
        JsonNode response = client.post(ChangeBody.PATH, ChangeBody.of(changeId, expected, text, List.of()));
        return ChangeBody.result(response, changeId, "applied", keys);
    }

    @Override
    public OutputFormat format() {
        return connection.format();
    }
}
