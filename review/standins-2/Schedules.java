import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Clients hand in a hundred schedules that run once a minute for a day. */
final class Schedules extends Case {
    private static final int SCHEDULES = 100;
    private static final int TIMES = 1440;
    private static final long INTERVAL_MILLIS = 60_000;
    private static final long FINISH_MILLIS = 14_000;

    public static void main(String[] arguments) throws Exception {
        run(new Schedules(), arguments);
    }

    @Override
    boolean holds() throws Exception {
        String before = "1f00aa34b6c97d20";
        String step = "{\"count\":8,\"cpu\":1800,\"mem_mb\":3200,\"est_ms\":2700";
        require(
                client.submit(QUEUE + before, "work=30000 end=done", "[" + step + "}]") == 200,
                "the first submission was not accepted");
        int times = trouble ? TIMES : 6;
        long firstDue = System.currentTimeMillis() + 3_600_000;
        List<String> accepted = new ArrayList<>();
        int refused = 0;
        for (int i = 0; i < SCHEDULES && refused < 8; i++) {
            String id = String.format(Locale.ROOT, "5c0e7a21d94b36%02x", i);
            String steps = "[" + step + "}," + step + ",\"after\":[0]}]";
            int status = client.schedule(QUEUE + id, "work=2700 end=done", steps, times, firstDue, INTERVAL_MILLIS);
            if (status == 200) {
                accepted.add(id);
            } else {
                refused++;
            }
        }
        Record.line("%d schedules of %d times were accepted; nothing is sent for 10 s", accepted.size(), times);
        Thread.sleep(10_000);
        boolean first = answers(before);
        boolean last = answers(accepted.get(accepted.size() - 1));
        return first && last;
    }

    /** Returns whether the state of a submission can be read in time. */
    private boolean answers(String id) throws InterruptedException {
        String[] state = {""};
        boolean answered = await(FINISH_MILLIS, () -> {
            state[0] = client.state(QUEUE + id);
            return !state[0].startsWith("status");
        });
        Record.line("client: GET %s -> %s%s", QUEUE + id, state[0], answered ? "" : " for 14 s on end");
        return answered;
    }
}
