import java.nio.file.Path;

/** Runs one case: {@code Case NAME FOLDER}. Exits with 1 if the rule was broken, 0 if it held and 2 if it could not run. */
final class Case {
    private Case() {}

    public static void main(String[] arguments) throws Exception {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
        System.setProperty("jdk.httpclient.keepalive.timeout", "20");
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        Recorder recorder = new Recorder(Path.of(arguments[1], "record.txt"));
        try (Fleet fleet = new Fleet(recorder)) {
            fleet.start();
            Scenario scenario = (Scenario) Class.forName(arguments[0]).getDeclaredConstructor().newInstance();
            boolean broken = scenario.isBroken(fleet, new Runs(recorder), trouble);
            status = broken ? 1 : 0;
        } catch (Exception e) {
            recorder.write("the case could not run: %s", e);
        }
        recorder.write(status == 1 ? "RULE BROKEN" : status == 0 ? "RULE HELD" : "NOT RUN");
        System.out.println(status == 1 ? "rule broken" : status == 0 ? "rule held" : "the case could not run, see record.txt");
        System.exit(status);
    }

    /** What one case does. */
    interface Scenario {
        boolean isBroken(Fleet fleet, Runs runs, boolean trouble) throws Exception;
    }
}
