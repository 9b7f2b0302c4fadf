package dev.waxwinghead.testkit.load;

import java.net.URI;
import java.net.http.HttpRequest;
import java.time.Duration;
import java.util.Arrays;

/** Builds one request of a {@link LoadPlan} and the response body expected for it. */
final class LoadRequest {
    private static final Duration ANSWER_MARGIN = Duration.ofSeconds(2);

    private final LoadPlan plan;
    private final long number;
    private final String path;
    private final byte[] body;

    private LoadRequest(LoadPlan plan, long number) {
        this.plan = plan;
        this.number = number;
        this.path = plan.path().replace("{n}", Long.toString(number));
        this.body = new byte[plan.bodyBytes()];
        Arrays.fill(body, (byte) ('a' + number % 26));
    }

    static LoadRequest of(LoadPlan plan, long number) {
        return new LoadRequest(plan, number);
    }

    /** Returns the HTTP request for an attempt. Each further attempt goes to the next entry host in turn. */
    HttpRequest toHttpRequest(int attempt) {
        String host = plan.entryHosts()
                .get((int) ((number + attempt) % plan.entryHosts().size()));
        HttpRequest.Builder request = HttpRequest.newBuilder(
                        URI.create("http://" + host + "/call/" + plan.service() + path))
                .timeout(plan.deadline().plus(ANSWER_MARGIN))
                .header("Waxwinghead-Deadline-Ms", Long.toString(plan.deadline().toMillis()));
        header(request, "Waxwinghead-Tenant", plan.tenant());
        header(request, "Waxwinghead-Class", plan.trafficClass());
        header(request, "Waxwinghead-Kind", plan.kind());
        header(request, "Idempotency-Key", plan.keyPrefix() == null ? null : plan.keyPrefix() + number);
        HttpRequest.BodyPublisher publisher =
                body.length == 0 ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofByteArray(body);
        return request.method(plan.method(), publisher).build();
    }

    private static void header(HttpRequest.Builder request, String name, String value) {
        if (value != null) {
            request.header(name, value);
        }
    }

    /** Returns the expected response body, null if the response can be checked by its digest only. */
    byte[] expectedBody() {
        if (!path.startsWith("/echo") && !path.startsWith("/delay")) {
            return null;
        }
        int query = path.indexOf('?');
        if (body.length > 0 || query < 0) {
            return body;
        }
        return path.substring(query + 1).getBytes(java.nio.charset.StandardCharsets.UTF_8);
    }
}
