package dev.waxwinghead.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import dev.waxwinghead.cli.output.CommandResult;
import dev.waxwinghead.cli.output.OutputFormat;
import dev.waxwinghead.cli.output.Table;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Shows the entry hosts as known to the one that answers, with revisions in force, contact and votes, and the drained
 * data centres.
 *
 * @since 0.1
 */
@Command(name = "status", description = "Shows the entry hosts and the drained data centres")
public final class StatusCommand implements CliCommand {
    private static final String DRAINED = "drainedDataCentres";

    @AirlineModule
    ConnectionOptions connection = new ConnectionOptions();

    /** Creates the command. */
    public StatusCommand() {}

    @Override
    public CommandResult run(CommandContext context) {
        JsonNode status = connection.client(context, new ArrayList<>()).get("/v1/status");
        StringBuilder text = new StringBuilder();
        addLog(status, text);
        text.append('\n').append(hosts(status));
        addParts(status.path("parts"), text);
        addDrained(status.path("parts").path(DRAINED), text);
        return CommandResult.of(status, text.toString());
    }

    private static void addLog(JsonNode status, StringBuilder text) {
        JsonNode log = status.path("log");
        text.append("asked: ").append(status.path("host").asText());
        text.append(" in ").append(status.path("dataCentre").asText()).append('\n');
        text.append("leader: ").append(log.path("leader").asText("none")).append(", term ");
        text.append(log.path("term").asText()).append('\n');
        text.append("applied: ").append(log.path("appliedIndex").asText());
        text.append(" of ").append(log.path("committedIndex").asText()).append(" committed\n");
        if (log.path("majorityInReach").asBoolean()) {
            text.append("majority: in reach\n");
        } else {
            text.append("majority: out of reach since ");
            text.append(Instant.ofEpochMilli(
                            log.path("outOfContactSinceEpochMillis").asLong()))
                    .append('\n');
        }
    }

    private static String hosts(JsonNode status) {
        Map<String, JsonNode> members = new HashMap<>();
        status.path("log")
                .path("members")
                .forEach(member -> members.put(member.path("host").asText(), member));
        Table table = Table.of("HOST", "DATA-CENTRE", "REVISION", "CONNECTED", "HEARD", "MEMBER");
        String self = status.path("host").asText();
        table.row(
                self,
                status.path("dataCentre").asText(),
                status.path("revision").asText(),
                "self",
                null,
                membership(members.get(self)));
        for (JsonNode peer : status.path("peers")) {
            String host = peer.path("host").asText();
            table.row(
                    host,
                    JsonText.valueOrNull(peer, "dataCentre"),
                    JsonText.valueOrNull(peer, "revision"),
                    peer.path("connected").asBoolean() ? "yes" : "no",
                    JsonText.ageInSeconds(peer, "lastHeardAgoMillis"),
                    membership(members.get(host)));
        }
        return table.text();
    }

    private static String membership(JsonNode member) {
        if (member == null) {
            return null;
        }
        return member.path("voter").asBoolean() ? "voter" : "learner";
    }

    private static void addParts(JsonNode parts, StringBuilder text) {
        List<String> lines = new ArrayList<>();
        parts.properties().stream()
                .filter(part -> !part.getKey().equals(DRAINED))
                .forEach(part -> lines.add(part.getKey() + ": "
                        + (part.getValue().isValueNode()
                                ? part.getValue().asText()
                                : part.getValue().toString())));
        if (!lines.isEmpty()) {
            text.append('\n');
            lines.forEach(line -> text.append(line).append('\n'));
        }
    }

    private static void addDrained(JsonNode drained, StringBuilder text) {
        if (!drained.isEmpty()) {
            text.append("\ndrained data centres and what still runs there:\n").append(DataCentreView.table(drained));
        }
    }

    @Override
    public OutputFormat format() {
        return connection.format();
    }
}
