package dev.waxwinghead.cli.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import dev.waxwinghead.cli.client.OperatorClient;
import dev.waxwinghead.cli.output.CommandResult;
import dev.waxwinghead.cli.output.Table;
import dev.waxwinghead.model.manifest.ManifestKind;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Shows the manifests in force, for a job or service also its tasks and upstreams. */
final class ManifestView implements ResourceView {
    private static final YAMLMapper YAML = YAMLMapper.builder()
            .disable(YAMLGenerator.Feature.WRITE_DOC_START_MARKER)
            .enable(YAMLGenerator.Feature.MINIMIZE_QUOTES)
            .build();

    /** The manifest fields shown as columns between name and revision. */
    private static final Map<ManifestKind, List<String>> COLUMNS = Map.of(
            ManifestKind.SERVICE, List.of("team", "replicas", "slots", "connections", "latencyTargetMillis"),
            ManifestKind.JOB, List.of("team", "tasks", "priority", "urgent", "maxFailures"),
            ManifestKind.QUOTA, List.of("limit", "mayBorrow"),
            ManifestKind.TENANT, List.of("weight", "requestsPerSecond", "maxInFlight"),
            ManifestKind.TRAFFIC_CLASS, List.of("weight", "maxInFlight", "latencyTargetMillis", "hedge"),
            ManifestKind.OBJECTIVE, List.of("tailLatency", "batchThroughput", "evictions"));

    private final ManifestKind kind;
    private final boolean stale;

    ManifestView(ManifestKind kind, boolean stale) {
        this.kind = kind;
        this.stale = stale;
    }

    @Override
    public CommandResult list(OperatorClient client, String name) {
        JsonNode response = read(client, name);
        Table table = Table.of(headers());
        for (JsonNode entry : response.path("entries")) {
            table.row(cells(entry));
        }
        return CommandResult.of(response, table.text());
    }

    private JsonNode read(OperatorClient client, String name) {
        String path = "/v1/resources/" + kindName() + (name == null ? "" : "/" + ResourceView.encode(name));
        JsonNode response = client.get(path + (stale ? "?stale=allowed" : ""));
        if (name != null && response.path("entries").isEmpty()) {
            throw ResourceView.notFound(kindName(), name);
        }
        return response;
    }

    private String kindName() {
        return kind.text().toLowerCase(Locale.ROOT);
    }

    private String[] headers() {
        List<String> columns = COLUMNS.get(kind);
        String[] headers = new String[columns.size() + 2];
        headers[0] = "NAME";
        for (int i = 0; i < columns.size(); i++) {
            headers[i + 1] = columns.get(i).replaceAll("([A-Z])", "-$1").toUpperCase(Locale.ROOT);
        }
        headers[headers.length - 1] = "REVISION";
        return headers;
    }

    private Object[] cells(JsonNode entry) {
        List<String> columns = COLUMNS.get(kind);
        JsonNode manifest = entry.path("manifest");
        Object[] cells = new Object[columns.size() + 2];
        cells[0] = manifest.path("name").asText();
        for (int i = 0; i < columns.size(); i++) {
            JsonNode value = manifest.path(columns.get(i));
            cells[i + 1] = value.isContainerNode() ? JsonText.keyValuePairs(value) : value.asText(null);
        }
        cells[cells.length - 1] = entry.path("revision").asText();
        return cells;
    }

    @Override
    public CommandResult describe(OperatorClient client, String name) {
        JsonNode entry = read(client, name).path("entries").path(0);
        ObjectNode json = entry.deepCopy();
        StringBuilder text = new StringBuilder(yaml(entry.path("manifest")));
        text.append("revision: ").append(entry.path("revision").asText()).append('\n');
        if (kind == ManifestKind.JOB) {
            addJobState(client, name, json, text);
        }
        if (kind == ManifestKind.JOB || kind == ManifestKind.SERVICE) {
            addTasks(client, name, json, text);
        }
        if (kind == ManifestKind.SERVICE) {
            addUpstreams(client, name, json, text);
        }
        return CommandResult.of(json, text.toString());
    }

    private static String yaml(JsonNode value) {
        try {
            return YAML.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("could not serialise a JSON tree", e);
        }
    }

    private static void addJobState(OperatorClient client, String name, ObjectNode json, StringBuilder text) {
        JsonNode job = client.get("/v1/jobs/" + ResourceView.encode(name));
        json.set("job", job);
        text.append("\nstate: ").append(job.path("state").asText()).append('\n');
        if (!job.path("reason").asText("").isEmpty() && !job.path("reason").isNull()) {
            text.append("reason: ").append(job.path("reason").asText()).append('\n');
        }
        for (String count : List.of("waiting", "running", "completed", "failed", "cancelled")) {
            text.append(count).append(": ").append(job.path(count).asInt()).append('\n');
        }
    }

    private void addTasks(OperatorClient client, String name, ObjectNode json, StringBuilder text) {
        JsonNode tasks = TaskView.read(client, kindName() + "/" + name);
        json.set("tasks", tasks);
        text.append('\n').append(TaskView.table(tasks));
    }

    private static void addUpstreams(OperatorClient client, String name, ObjectNode json, StringBuilder text) {
        JsonNode upstreams = UpstreamView.read(client, name);
        json.set("upstreams", upstreams);
        text.append('\n').append(UpstreamView.table(upstreams));
    }
}
