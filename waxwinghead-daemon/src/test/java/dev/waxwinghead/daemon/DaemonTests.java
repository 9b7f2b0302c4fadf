package dev.waxwinghead.daemon;

import dev.waxwinghead.coordination.peer.PeerAddress;
import dev.waxwinghead.daemon.settings.DaemonSettings;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class DaemonTests {
    private static final HostId HOST = HostId.of("e1");
    private static final DataCentreId DATA_CENTRE = DataCentreId.of("dc1");
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final int TIMEOUT_SECONDS = 10;

    @TempDir
    private Path folder;

    @Test
    void drainEndsWhileTheExitAfterAFailureWaitsForIt() throws Exception {
        Daemon daemon = Daemon.start(settings());
        CompletableFuture<Void> drained = new CompletableFuture<>();
        // System.exit waits for the shutdown hook, which drains, on the thread that reports the end.
        CompletableFuture<Void> exit = daemon.ended().thenAccept(status -> drained.join());
        failReplica();
        while (!daemon.hasEnded()) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        CompletableFuture<Void> drain = CompletableFuture.runAsync(daemon::drain);
        try {
            drain.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } finally {
            drained.complete(null);
            exit.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
    }

    private static void failReplica() {
        Thread.getAllStackTraces().keySet().stream()
                .filter(thread -> thread.getName().equals("waxwinghead-consensus-" + HOST))
                .forEach(Thread::interrupt);
    }

    private DaemonSettings settings() {
        return new DaemonSettings(
                "test",
                HOST,
                DATA_CENTRE,
                ANY_PORT,
                ANY_PORT,
                ANY_PORT,
                ANY_PORT,
                List.of(new PeerAddress(HOST, DATA_CENTRE, ANY_PORT)),
                List.of(HOST),
                Optional.of(folder),
                Duration.ofSeconds(1),
                Duration.ofSeconds(5),
                Duration.ofSeconds(5),
                4);
    }
}
