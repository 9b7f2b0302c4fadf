package dev.waxwinghead.cli.command;

import dev.waxwinghead.cli.client.OperatorClient;
import dev.waxwinghead.cli.output.Answer;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.manifest.ManifestKind;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;

/** Reads and shows one kind of thing. */
interface ResourceView {
    /**
     * Shows the things of this kind in a table.
     *
     * @param client the client
     * @param name the only thing to show; null means all
     * @return the answer, never null
     */
    Answer list(OperatorClient client, String name);

    /**
     * Shows all that is known about one thing.
     *
     * @param client the client
     * @param name the thing
     * @return the answer, never null
     */
    Answer describe(OperatorClient client, String name);

    /**
     * Returns the view of a kind; an unknown kind is a problem.
     *
     * @param kind the kind's name, singular or plural
     * @param stale whether the answer may come from a host that reaches no majority
     * @param problems where problems are added
     * @return the view, null if the kind is unknown
     */
    static ResourceView of(String kind, boolean stale, List<String> problems) {
        String singular = kind.toLowerCase(Locale.ROOT).replaceAll("s$", "");
        return switch (singular) {
            case "worker" -> new WorkerView();
            case "upstream" -> new UpstreamView();
            case "task" -> new TaskView();
            default -> manifestView(kind, stale, problems);
        };
    }

    private static ResourceView manifestView(String kind, boolean stale, List<String> problems) {
        try {
            return new ManifestView(ManifestKind.ofText(kind), stale);
        } catch (WaxwingheadException e) {
            problems.add("kind '" + kind + "' is unknown; use service, job, quota, tenant, trafficclass, objective, "
                    + "worker, upstream or task");
            return null;
        }
    }

    /** Returns a text as part of a path or query. */
    static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }

    /** Returns the failure for a thing that does not exist. */
    static WaxwingheadException notFound(String kind, String name) {
        return WaxwingheadException.of(
                ErrorKind.NOT_FOUND,
                kind + " '" + name + "' is not known",
                "see 'get " + kind + "' for those that are");
    }
}
