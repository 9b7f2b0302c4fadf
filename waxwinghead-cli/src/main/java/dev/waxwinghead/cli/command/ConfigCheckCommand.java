package dev.waxwinghead.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import dev.waxwinghead.cli.check.ConfigurationCheck;
import dev.waxwinghead.cli.check.ConfigurationDifference;
import dev.waxwinghead.cli.check.Finding;
import dev.waxwinghead.cli.check.ManifestText;
import dev.waxwinghead.cli.client.OperatorClient;
import dev.waxwinghead.cli.output.CommandResult;
import dev.waxwinghead.cli.output.OutputFormat;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.manifest.Manifest;
import dev.waxwinghead.model.manifest.ManifestKey;
import dev.waxwinghead.model.manifest.Manifests;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Checks a file of manifests without applying it. The exit status is 0 without findings, 1 with findings and 2 if the
 * file can't be read.
 *
 * @since 0.2
 */
@Command(name = "check", description = "Checks a file of manifests: 0 without findings, 1 with, 2 if unreadable")
public final class ConfigCheckCommand implements CliCommand {
    private static final int EXIT_FINDINGS = 1;
    private static final int EXIT_UNREADABLE = 2;

    @AirlineModule
    ConnectionOptions connection = new ConnectionOptions();

    @Option(
            name = "--against-current",
            description = "Checks the file together with the configuration in force, and shows the differences")
    boolean againstCurrent;

    @Arguments(title = "file", description = "The file with the manifests; - for the standard input")
    List<String> arguments = new ArrayList<>();

    /** Creates the command. */
    public ConfigCheckCommand() {}

    @Override
    public CommandResult run(CommandContext context) {
        List<String> problems = new ArrayList<>();
        ArgumentChecks.rejectOptions(
                arguments.stream().filter(argument -> !argument.equals("-")).toList(), problems);
        if (arguments.size() != 1) {
            problems.add("config check has " + arguments.size() + " arguments; give one file");
        }
        OperatorClient client = null;
        if (againstCurrent) {
            client = connection.client(context, problems);
        } else {
            connection.output.validate(problems);
            if (!problems.isEmpty()) {
                throw new UsageException(problems);
            }
        }
        String file = arguments.get(0);
        ManifestText text;
        try {
            text = ManifestText.read(FileText.read(file, context.input()));
        } catch (WaxwingheadException e) {
            return unreadable(file, e);
        }
        return client == null
                ? result(file, ConfigurationCheck.check(text), null)
                : checkAgainstCurrent(file, text, client.get("/v1/configuration"));
    }

    private static CommandResult checkAgainstCurrent(String file, ManifestText text, JsonNode configuration) {
        Map<ManifestKey, Manifest> inForce = new LinkedHashMap<>();
        for (JsonNode entry : configuration.path("entries")) {
            Manifest manifest = Manifests.readJson(entry.path("manifest").toString());
            inForce.put(manifest.key(), manifest);
        }
        long revision = configuration.path("revision").asLong();
        return result(
                file, ConfigurationCheck.check(text, inForce), ConfigurationDifference.of(text, revision, inForce));
    }

    private static CommandResult unreadable(String file, WaxwingheadException failure) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("file", file);
        json.put("error", failure.kind().code());
        json.put("message", failure.getMessage());
        json.put("remedy", failure.remedy());
        return CommandResult.of(json, file + ": " + failure.getMessage() + "\n", EXIT_UNREADABLE);
    }

    private static CommandResult result(String file, List<Finding> findings, ConfigurationDifference difference) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("file", file);
        ArrayNode list = json.putArray("findings");
        StringBuilder text = new StringBuilder();
        for (Finding finding : findings) {
            ObjectNode row = list.addObject();
            row.put("kind", finding.kind().code());
            row.put("line", finding.line());
            row.put("entry", finding.entry());
            row.put("message", finding.message());
            row.put("remedy", finding.remedy());
            text.append(file).append(':').append(finding.line()).append(": ");
            text.append(finding.kind().code()).append(": ");
            text.append(finding.entry() == null ? "" : finding.entry() + ": ");
            text.append(finding.message()).append("; ").append(finding.remedy()).append('\n');
        }
        text.append(findings.size()).append(findings.size() == 1 ? " finding\n" : " findings\n");
        if (difference != null) {
            ObjectNode differences = json.putObject("differences");
            differences.put("revision", difference.revision());
            text.append("\ncompared with revision ")
                    .append(difference.revision())
                    .append(":\n");
            addKeys("added", difference.added(), differences, text);
            addKeys("changed", difference.changed(), differences, text);
            addKeys("unchanged", difference.unchanged(), differences, text);
            addKeys("onlyInForce", difference.onlyInForce(), differences, text);
        }
        return CommandResult.of(json, text.toString(), findings.isEmpty() ? 0 : EXIT_FINDINGS);
    }

    private static void addKeys(String name, List<ManifestKey> keys, ObjectNode json, StringBuilder text) {
        ArrayNode array = json.putArray(name);
        keys.forEach(key -> array.add(key.toString()));
        text.append(name).append(": ");
        text.append(
                keys.isEmpty() ? "-" : keys.stream().map(ManifestKey::toString).collect(Collectors.joining(", ")));
        text.append('\n');
    }

    @Override
    public OutputFormat format() {
        return connection.format();
    }
}
