import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A client of the queue, which repeats a request without a clear answer at another entry host. */
final class Client {
    private final Cluster cluster;
    private final Record record;
    private int next;

    Client(Cluster cluster, Record record) {
        this.cluster = cluster;
        this.record = record;
    }

    private String entry() {
        List<Cluster.Node> entries = cluster.entries;
        return cluster.front(entries.get(next++ % entries.size()));
    }

    /** Hands a submission in; returns whether it was accepted. */
    boolean submit(String id, String body, long seconds) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (System.nanoTime() < end) {
            String answer;
            try {
                int status = Http.call(entry(), "POST", Cluster.PREFIX + id, Cluster.HOST, body, 2000)
                        .status();
                answer = Integer.toString(status);
                if (status / 100 == 2) {
                    record.line("POST " + id + " -> " + status);
                    return true;
                }
            } catch (IOException e) {
                answer = "no answer: " + e.getMessage();
            }
            record.line("POST " + id + " -> " + answer);
            Thread.sleep(100);
        }
        return false;
    }

    /** Returns the state that one request for a submission gives, or the status or the failure. */
    String state(String id) {
        try {
            Http.Response response =
                    Http.call(entry(), "GET", Cluster.PREFIX + id, Cluster.HOST, null, 2000);
            return response.status() == 200
                    ? String.valueOf(Json.object(response.body()).get("state"))
                    : Integer.toString(response.status());
        } catch (IOException e) {
            return "no answer: " + e.getMessage();
        }
    }
}
