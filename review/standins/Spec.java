import java.util.HashMap;
import java.util.Map;

/** The text in which the stand-ins describe the work of the tasks of a submission, such as {@code work_ms=800;cpu=1000}. */
record Spec(long workMillis, int cpu, int gang, boolean lasts, boolean checkpoints) {
    static Spec parse(String text) {
        Map<String, String> values = new HashMap<>();
        for (String part : text.split(";")) {
            int equals = part.indexOf('=');
            values.put(part.substring(0, equals), part.substring(equals + 1));
        }
        return new Spec(
                Long.parseLong(values.getOrDefault("work_ms", "0")),
                Integer.parseInt(values.getOrDefault("cpu", "0")),
                Integer.parseInt(values.getOrDefault("gang", "0")),
                values.containsKey("lasts"),
                values.containsKey("checkpoints"));
    }
}
