package dev.waxwinghead.cli.command;

import dev.waxwinghead.cli.client.OperatorClient;
import dev.waxwinghead.cli.output.CommandResult;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.manifest.ManifestKind;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;

/** Reads resources of one kind and formats them for output. */
interface ResourceView {
    /**
     * Lists the resources of this kind in a table.
     *
     * @param client the client to read with
     * @param name the name of the only resource to list, null for all
     * @return the result, never null
     */
    CommandResult list(OperatorClient client, String name);

    /**
     * Shows everything known about one resource.
     *
     * @param client the client to read with
     * @param name the name of the resource
     * @return the result, never null
     */
    CommandResult describe(OperatorClient client, String name);

    /**
     * Returns the view of a kind, or adds a problem if the kind is unknown.
     *
     * @param kind the kind's name, singular or plural
     * @param stale whether an entry host that reaches no majority may answer
     * @param problems the list to add problems to
     * @return the view, null if the kind is unknown
     */
    static ResourceView of(String kind, boolean stale, List<String> problems) {
        String singular = kind.toLowerCase(Locale.ROOT).replaceAll("s$", "");
        return switch (singular) {
            case "worker" -> new WorkerView();
            case "upstream" -> new UpstreamView();
            case "task" -> new TaskView();
            case "data-centre" -> new DataCentreView();
            default -> manifestView(kind, stale, problems);
        };
    }

    private static ResourceView manifestView(String kind, boolean stale, List<String> problems) {
        try {
            return new ManifestView(ManifestKind.ofText(kind), stale);
        } catch (WaxwingheadException e) {
            problems.add("kind '" + kind + "' is unknown; use service, job, quota, tenant, trafficclass, objective, "
                    + "worker, upstream, task or data-centre");
            return null;
        }
    }

    /** Returns the text percent-encoded for use in a path or query. */
    static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }

    /** Returns an exception for a resource that does not exist. */
    static WaxwingheadException notFound(String kind, String name) {
        return WaxwingheadException.of(
                ErrorKind.NOT_FOUND,
                kind + " '" + name + "' is unknown",
                "list the known ones with 'get " + kind + "'");
    }
}
