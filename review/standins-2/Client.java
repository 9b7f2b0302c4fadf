import java.util.List;
import java.util.Map;

/** A stand-in for a client: submits, reads and cancels submissions, and sends a call again as the pages tell. */
final class Client {
    private static final int PATIENCE_MILLIS = 3000;

    private final Cluster cluster;
    private final String host;
    private int nextFront;

    Client(Cluster cluster, String host) {
        this.cluster = cluster;
        this.host = host;
    }

    /** Submits until it is accepted or refused for good; returns the last status. */
    int submit(String path, String spec, String steps) throws InterruptedException {
        String body = "{\"spec\":" + Json.quote(spec) + ",\"steps\":" + steps + "}";
        int status = 0;
        for (int attempt = 0; attempt < 5 && status / 100 != 2; attempt++) {
            status = call("POST", path, body).status();
            if (status / 100 != 2) {
                Thread.sleep(300);
            }
        }
        Record.line("client: POST %s %s -> %d", path, body, status);
        return status;
    }

    /** Submits a schedule once; returns the status. */
    int schedule(String path, String spec, String steps, int times, long startMillis, long intervalMillis) {
        String body = "{\"spec\":" + Json.quote(spec) + ",\"steps\":" + steps + ",\"times\":" + times
                + ",\"start_at_ms\":" + startMillis + ",\"interval_ms\":" + intervalMillis + "}";
        int status = call("POST", path, body).status();
        Record.line("client: POST %s with %d times -> %d", path, times, status);
        return status;
    }

    /** Returns the state, or the status in words if there is none. */
    String state(String path) {
        Http.Answer answer = call("GET", path, "");
        return answer.success()
                ? String.valueOf(Json.object(answer.body()).get("state"))
                : "status " + answer.status();
    }

    /** Returns the number of submissions of a queue that have not begun, or -1 if there is no answer. */
    long pending(String queue) {
        Http.Answer answer = call("GET", queue, "");
        return answer.success() ? Json.number(Json.object(answer.body()).get("pending")) : -1;
    }

    int cancel(String path) {
        int status = call("DELETE", path, "").status();
        Record.line("client: DELETE %s -> %d", path, status);
        return status;
    }

    private Http.Answer call(String method, String path, String body) {
        String front = cluster.front(nextFront++ % Cluster.FRONTS);
        return Http.call(front, method, path, host, body, PATIENCE_MILLIS, "Deadline-Ms: " + PATIENCE_MILLIS + "\r\n");
    }

    static String manifest(long version, String host, String service, List<Map.Entry<String, String>> routes) {
        StringBuilder out = new StringBuilder("{\"version\":" + version + ",\"routes\":[");
        String separator = "";
        for (Map.Entry<String, String> route : routes) {
            out.append(separator)
                    .append("{\"name\":")
                    .append(Json.quote(route.getKey()))
                    .append(",\"host\":")
                    .append(Json.quote(host))
                    .append(",\"path_prefix\":")
                    .append(Json.quote(route.getValue()))
                    .append(",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"slo_ms\":3000,\"priority\":0")
                    .append(",\"service\":")
                    .append(Json.quote(service))
                    .append(",\"attempts\":4,\"stretch\":2.2}");
            separator = ",";
        }
        return out.append("],\"services\":[{\"name\":")
                .append(Json.quote(service))
                .append(",\"health_path\":\"/health\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false")
                .append(",\"enforces_capacity\":true,\"standby\":false}],\"limits\":{\"max_header_bytes\":16384")
                .append(",\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}")
                .toString();
    }
}
