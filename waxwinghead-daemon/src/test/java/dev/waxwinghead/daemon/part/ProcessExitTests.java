package dev.waxwinghead.daemon.part;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ProcessExitTests {
    private static final int EXIT_STATUS = 9;

    @Test
    void shutdownThatHangsEndsTheProcessAndNamesWhatItWaitsFor() throws IOException, InterruptedException {
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Djava.util.logging.manager=org.jboss.logmanager.LogManager",
                HangingShutdown.class.getName());
        String classPath = System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
        builder.environment().put("CLASSPATH", classPath);
        Process process = builder.redirectErrorStream(true).start();
        try {
            boolean ended = process.waitFor(20, TimeUnit.SECONDS);
            assertThat(ended).isTrue();
            assertThat(process.exitValue()).isEqualTo(EXIT_STATUS);
            String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertThat(output).contains("HangingShutdown.closeForever");
        } finally {
            process.destroyForcibly().onExit().join();
        }
    }

    /** A process whose shutdown hook never returns. */
    static final class HangingShutdown {
        private HangingShutdown() {}

        public static void main(String[] arguments) {
            Runtime.getRuntime().addShutdownHook(new Thread(HangingShutdown::closeForever, "shutdown"));
            System.exit(0);
        }

        private static void closeForever() {
            ProcessExit.haltAfter(Duration.ofMillis(100), EXIT_STATUS);
            try {
                new CountDownLatch(1).await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
