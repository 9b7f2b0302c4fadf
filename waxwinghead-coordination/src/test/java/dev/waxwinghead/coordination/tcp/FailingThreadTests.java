package dev.waxwinghead.coordination.tcp;

import static com.google.common.truth.Truth.assertThat;

import dev.waxwinghead.coordination.peer.PeerAddress;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.lifecycle.Closer;
import dev.waxwinghead.model.time.Ticker;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests that connections come back after no thread could be started for one of them. */
class FailingThreadTests {
    private static final Ticker TICKER = Ticker.system();
    private static final HostId E1 = HostId.of("e1");
    private static final HostId E2 = HostId.of("e2");
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Closer closer = Closer.create();
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final TcpPeerCounters counters = new TcpPeerCounters();
    private final StateChangeLogger stateLogger = new StateChangeLogger();

    @AfterEach
    void close() {
        closer.close();
        threads.shutdownNow();
    }

    @Test
    void linkConnectsAfterItsReaderCouldNotStart() throws Exception {
        Listener listener = listen(threads);
        OutgoingLink link = dial(listener, failingSecond());
        assertThat(connects(link)).isTrue();
    }

    @Test
    void listenerAcceptsAfterAConnectionCouldNotBeServed() throws Exception {
        Listener listener = listen(failingSecond());
        OutgoingLink link = dial(listener, threads);
        assertThat(connects(link)).isTrue();
    }

    private Listener listen(Executor executor) throws IOException {
        Listener listener = closer.register(
                new Listener(settings(E2), new HandlerRegistry(), counters, stateLogger, executor, TICKER));
        listener.start();
        return listener;
    }

    private OutgoingLink dial(Listener listener, Executor executor) {
        PeerAddress peer = new PeerAddress(E2, DataCentreId.of("dc1"), listener.address());
        OutgoingLink link =
                closer.register(new OutgoingLink(peer, settings(E1), counters, stateLogger, executor, TICKER));
        link.start();
        return link;
    }

    private static boolean connects(OutgoingLink link) throws InterruptedException {
        long start = System.nanoTime();
        // A session that nobody reads counts as connected until the silence timeout.
        long settledNanos = settings(E1).silenceTimeout().toNanos() * 2;
        while (System.nanoTime() - start < TIMEOUT_NANOS) {
            if (System.nanoTime() - start > settledNanos && link.connected()) {
                return true;
            }
            Thread.sleep(20);
        }
        return false;
    }

    private static TcpPeerSettings settings(HostId host) {
        return TcpPeerSettings.of("test", host, DataCentreId.of("dc1"), ANY_PORT);
    }

    /** Returns an executor whose second action fails as if the system had no further thread. */
    private Executor failingSecond() {
        AtomicInteger actions = new AtomicInteger();
        return action -> {
            if (actions.incrementAndGet() == 2) {
                throw new OutOfMemoryError("unable to create native thread");
            }
            threads.execute(action);
        };
    }
}
