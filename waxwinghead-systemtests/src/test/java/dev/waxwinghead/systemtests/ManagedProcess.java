package dev.waxwinghead.systemtests;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Runs a main class of the test class path as a separate process, to which signals can be sent. */
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
     * @param name the name of the process in messages
     * @param mainClass the main class
     * @param log the file to which the output of the process is appended
     * @param arguments the arguments of the program
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

    /** Returns the command that runs a main class of the test class path in a virtual machine with a small heap. */
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

    /** Returns whether the process is alive. */
    public boolean isRunning() {
        return process.isAlive();
    }

    /** Sends SIGKILL and waits until the process has exited. */
    public void kill() {
        close();
    }

    /** Sends SIGTERM without waiting for the exit. */
    public void terminate() {
        process.destroy();
    }

    /** Suspends the process with SIGSTOP. */
    public void freeze() throws InterruptedException {
        signal("STOP");
    }

    /** Resumes the process with SIGCONT. */
    public void resume() throws InterruptedException {
        signal("CONT");
    }

    private void signal(String signal) throws InterruptedException {
        try {
            int status = new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
            if (status != 0) {
                throw new IllegalStateException("can't send signal " + signal + " to " + name);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Waits until the process has exited.
     *
     * @param timeout the longest time to wait
     * @return the exit status
     * @throws AssertionError if the process has not exited in time
     */
    public int awaitExit(Duration timeout) throws InterruptedException {
        if (!process.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS)) {
            throw new AssertionError(name + " has not exited within " + timeout);
        }
        return process.exitValue();
    }

    /** Returns the content of the log file, with the output of earlier processes that wrote to the same file. */
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
