package dev.waxwinghead.systemtests;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Runs a main class of the test's class path as a process of its own, which signals reach by its id. */
public final class ManagedProcess implements AutoCloseable {
    private final String name;
    private final Path log;
    private final Process process;

    private ManagedProcess(String name, Path log, Process process) {
        this.name = name;
        this.log = log;
        this.process = process;
    }

    /**
     * Starts a process.
     *
     * @param name the process's name in messages
     * @param mainClass the main class
     * @param log the file that its output is added to
     * @param arguments the program's arguments
     * @return the process, never null
     */
    public static ManagedProcess start(String name, String mainClass, Path log, List<String> arguments) {
        ProcessBuilder builder = new ProcessBuilder(command(mainClass, arguments));
        builder.environment().put("CLASSPATH", classPath());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        try {
            Process process = builder.start();
            Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
            return new ManagedProcess(name, log, process);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the command line that runs a main class of the test's class path in a small virtual machine. */
    static List<String> command(String mainClass, List<String> arguments) {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx128m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Djava.util.logging.manager=org.jboss.logmanager.LogManager",
                "-Dsun.net.httpserver.nodelay=true",
                mainClass));
        command.addAll(arguments);
        return command;
    }

    static String classPath() {
        return System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
    }

    /** Tells whether it runs. */
    public boolean running() {
        return process.isAlive();
    }

    /** Ends it with SIGKILL and waits until it has ended. */
    public void kill() {
        close();
    }

    /** Asks it to end with SIGTERM. */
    public void terminate() {
        process.destroy();
    }

    /** Freezes it with SIGSTOP. */
    public void freeze() throws InterruptedException {
        signal("STOP");
    }

    /** Lets it go on with SIGCONT. */
    public void resume() throws InterruptedException {
        signal("CONT");
    }

    private void signal(String signal) throws InterruptedException {
        try {
            int status = new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
            if (status != 0) {
                throw new IllegalStateException("signal " + signal + " can't reach " + name);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Waits until it has ended.
     *
     * @param bound the longest time to wait
     * @return its exit status
     * @throws AssertionError if it has not ended in time
     */
    public int awaitExit(Duration bound) throws InterruptedException {
        if (!process.waitFor(bound.toMillis(), TimeUnit.MILLISECONDS)) {
            throw new AssertionError(name + " has not ended within " + bound);
        }
        return process.exitValue();
    }

    /** Returns what it and earlier processes of the same log file wrote. */
    public String log() throws IOException {
        return Files.readString(log);
    }

    @Override
    public void close() {
        process.destroyForcibly().onExit().join();
    }

    @Override
    public String toString() {
        return name + " pid=" + process.pid() + " log=" + log;
    }
}
