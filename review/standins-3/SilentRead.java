import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * The operator reads a large manifest back, five times at one node after the other; three of five responses are lost in
 * transit, since the connection goes silent. Then everything works, and submissions and the manifest are asked for.
 */
public final class SilentRead {
    /** The largest dose of {@code big_config} on the pages. */
    private static final int ROUTES = 1400;

    /** Three of five responses are lost: a share of 0.6, as the sites give it. */
    private static final int LOST = 3;

    private static final int READS_OF_A_NODE = 5;
    private static final int READS = 3 * READS_OF_A_NODE;
    private static final int FINISH_SECONDS = 14;
    private static final int RECOVERY_SECONDS = 12;
    private static final int CONTACT_SECONDS = 3;

    private SilentRead() {}

    public static void main(String[] args) {
        int result;
        try (Record record = new Record(Path.of(args[0]));
                Cluster cluster = new Cluster(record, 3, 2, false)) {
            result = play(record, cluster);
            record.line("exit " + result);
        } catch (Exception e) {
            System.err.println("the case could not run: " + e);
            result = Record.NOT_RUN;
        }
        System.exit(result);
    }

    private static int play(Record record, Cluster cluster) throws Exception {
        cluster.start();
        if (!cluster.replace(Cluster.manifest(1, 0), 20)
                || !cluster.replace(Cluster.manifest(2, ROUTES), 20)
                || !cluster.awaitService(20)) {
            record.line("the system did not start");
            return Record.NOT_RUN;
        }
        record.line(
                "manifest 2 acknowledged, " + Cluster.manifest(2, ROUTES).length() + " bytes, " + ROUTES + " routes");
        for (int i = 0; i < 3; i++) {
            new Worker("w-" + i, "zone-" + "abc".charAt(i), "r-" + i, "127.0.0.1:" + (9001 + i), 16_000, cluster.controls(), record)
                    .start();
        }
        Client client = new Client(cluster, record);
        String id = "00000000000000aa";
        boolean accepted = client.submit(
                id,
                "{\"spec\":\"dur=300 cpu=500\",\"steps\":[{\"count\":4,\"cpu\":500,\"mem_mb\":16,\"est_ms\":300}]}",
                20);
        if (!accepted) {
            return Record.NOT_RUN;
        }
        SilentLinks links = new SilentLinks(cluster.controls());
        Thread.sleep(3000);
        for (int i = 0; i < READS; i++) {
            if (Record.trouble() && i % READS_OF_A_NODE < LOST) {
                links.silenceDuringNextLargeResponse();
            }
            read(record, links, cluster, cluster.cores.get(i / READS_OF_A_NODE), 2000);
            links.disarm();
            record.line(links.counts());
            Thread.sleep(1500);
        }
        record.line("from here on nothing is disturbed; new connections work at every node");
        TimeUnit.SECONDS.sleep(Math.max(FINISH_SECONDS, RECOVERY_SECONDS));
        boolean known = false;
        boolean came = false;
        boolean served = false;
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(4 * CONTACT_SECONDS);
        int second = 0;
        while (System.nanoTime() < end && !(known && came && served)) {
            String state = client.state(id);
            record.line("GET " + id + " -> " + state);
            known |= state.equals("done");
            for (Cluster.Node node : cluster.cores) {
                came |= read(record, links, cluster, node, 2000);
            }
            served |= client.submit(
                    String.format("00000000000000b%x", second++ % 16),
                    "{\"spec\":\"dur=100 cpu=100\",\"steps\":[{\"count\":1,\"cpu\":100,\"mem_mb\":16,\"est_ms\":100}]}",
                    1);
        }
        for (Cluster.Node node : cluster.cores) {
            record.line(node.name + (node.process.isAlive() ? " runs" : " has ended"));
        }
        record.line("the accepted submission is known: " + known + "; the manifest comes: " + came
                + "; a new submission is accepted: " + served);
        links.close();
        return known && came ? Record.HELD : Record.BROKEN;
    }

    private static boolean read(
            Record record, SilentLinks links, Cluster cluster, Cluster.Node node, int timeoutMillis) {
        try {
            Http.Response response = Http.call(
                    links.to(cluster.control(node)), "GET", "/Config.Get", null, null, timeoutMillis);
            record.line("GET /Config.Get at " + node.name + " -> " + response.status() + ", "
                    + response.body().length() + " bytes");
            return response.status() == 200;
        } catch (IOException e) {
            record.line("GET /Config.Get at " + node.name + " -> no answer: " + e.getMessage());
            return false;
        }
    }
}
