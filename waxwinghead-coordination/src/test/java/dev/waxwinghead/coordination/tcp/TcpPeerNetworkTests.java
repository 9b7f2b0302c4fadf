package dev.waxwinghead.coordination.tcp;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.waxwinghead.coordination.peer.PeerAddress;
import dev.waxwinghead.coordination.peer.PeerChannel;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.lifecycle.Closer;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import dev.waxwinghead.testkit.relay.TcpRelay;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TcpPeerNetworkTests {
    private static final Ticker TICKER = Ticker.system();
    private static final DataCentreId DATA_CENTRE = DataCentreId.of("dc1");
    private static final HostId E1 = HostId.of("e1");
    private static final HostId E2 = HostId.of("e2");
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final Duration RECONNECT_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private final Closer closer = Closer.create();
    private final BlockingQueue<String> received = new LinkedBlockingQueue<>();
    private TcpPeerNetwork first;
    private TcpPeerNetwork second;
    private TcpRelay relay;

    @BeforeEach
    void connectThroughRelay() {
        first = open("seating", E1);
        second = open("seating", E2);
        relay = closer.register(TcpRelay.open(ANY_PORT, second.listenAddress()));
        second.onMessage(
                PeerChannel.CONSENSUS, (from, message) -> received.add(from + ":" + new String(message, UTF_8)));
        second.onCall(PeerChannel.LOG_CLIENT, (from, request) -> CompletableFuture.completedFuture(request));
        first.setPeers(List.of(peer(E1, first.listenAddress()), peer(E2, relay.address())));
        await(TIMEOUT, this::connected);
    }

    @AfterEach
    void close() {
        closer.close();
    }

    private TcpPeerNetwork open(String cluster, HostId host) {
        TcpPeerSettings settings =
                TcpPeerSettings.of(cluster, host, DATA_CENTRE, ANY_PORT).withLimits(64 << 10, 256 << 10);
        return closer.register(TcpPeerNetwork.open(settings, TICKER));
    }

    private static PeerAddress peer(HostId host, InetSocketAddress address) {
        return new PeerAddress(host, DATA_CENTRE, address);
    }

    private boolean connected() {
        return first.peers().stream().allMatch(peer -> peer.connected());
    }

    private static void await(Duration limit, BooleanSupplier condition) {
        Deadline deadline = Deadline.after(limit, TICKER);
        while (!condition.getAsBoolean()) {
            assertWithMessage("passed %s", limit).that(deadline.passed(TICKER)).isFalse();
            try {
                Thread.sleep(5);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    private CompletableFuture<byte[]> call(String request, Duration limit) {
        return first.call(E2, PeerChannel.LOG_CLIENT, request.getBytes(UTF_8), Deadline.after(limit, TICKER));
    }

    private static WaxwingheadException failure(CompletableFuture<byte[]> call) {
        return WaxwingheadException.from(assertThrows(CompletionException.class, call::join));
    }

    private void awaitSuccessfulCall() {
        await(RECONNECT_TIMEOUT, () -> {
            try {
                return call("again", Duration.ofSeconds(1)).join().length == 5;
            } catch (CompletionException e) {
                return false;
            }
        });
    }

    @Nested
    class Delivery {
        @Test
        void keepsTheOrderOfMessages() throws InterruptedException {
            for (int i = 0; i < 1000; i++) {
                first.send(E2, PeerChannel.CONSENSUS, Integer.toString(i).getBytes(UTF_8));
            }
            for (int i = 0; i < 1000; i++) {
                assertThat(received.poll(10, TimeUnit.SECONDS)).isEqualTo("e1:" + i);
            }
            assertThat(second.counters().framesIn(PeerChannel.CONSENSUS)).isEqualTo(1000);
        }

        @Test
        void answersCalls() {
            assertThat(call("question", TIMEOUT).join()).isEqualTo("question".getBytes(UTF_8));
        }

        @Test
        void carriesTypedFailuresToTheCaller() {
            second.onCall(
                    PeerChannel.LOG_CLIENT,
                    (from, request) -> CompletableFuture.failedFuture(
                            WaxwingheadException.of(ErrorKind.NO_MAJORITY, "not accepted", "repeat it later")));

            WaxwingheadException failure = failure(call("question", TIMEOUT));

            assertThat(failure.kind()).isEqualTo(ErrorKind.NO_MAJORITY);
            assertThat(failure).hasMessageThat().isEqualTo("not accepted; repeat it later");
        }

        @Test
        void refusesMessagesOverTheLimit() {
            WaxwingheadException failure = assertThrows(
                    WaxwingheadException.class, () -> first.send(E2, PeerChannel.CONSENSUS, new byte[(64 << 10) + 1]));

            assertThat(failure.kind()).isEqualTo(ErrorKind.TOO_LARGE);
        }

        @Test
        void distinguishesUnsentCallsFromUnknownOutcomes() {
            second.onCall(PeerChannel.LOG_CLIENT, (from, request) -> new CompletableFuture<>());
            assertThat(failure(call("sent", Duration.ofMillis(300))).kind()).isEqualTo(ErrorKind.UNKNOWN_OUTCOME);
            CompletableFuture<byte[]> sent = call("sent", TIMEOUT);
            await(TIMEOUT, () -> second.counters().framesIn(PeerChannel.LOG_CLIENT) == 2);
            relay.cut();
            assertThat(failure(sent).kind()).isEqualTo(ErrorKind.UNKNOWN_OUTCOME);
            await(TIMEOUT, () -> !connected());
            assertThat(failure(call("not sent", TIMEOUT)).kind()).isEqualTo(ErrorKind.UNAVAILABLE);
        }
    }

    @Nested
    class Reconnection {
        @Test
        void replacesSilentConnectionsWhileNewOnesWork() {
            for (int round = 0; round < 3; round++) {
                relay.dropEstablished();
                awaitSuccessfulCall();
            }
            assertThat(first.counters().reconnects()).isEqualTo(3);
            assertThat(first.counters().silentConnections()).isEqualTo(3);
        }

        @Test
        void detectsASilentPeerAndItsReturn() {
            relay.drop();
            await(RECONNECT_TIMEOUT, () -> !connected());
            relay.heal();
            awaitSuccessfulCall();
        }

        @Test
        void deliversMessagesAfterAFreeze() throws InterruptedException {
            relay.freeze();
            await(RECONNECT_TIMEOUT, () -> !connected());
            relay.heal();
            awaitSuccessfulCall();
            first.send(E2, PeerChannel.CONSENSUS, "after".getBytes(UTF_8));
            assertThat(received.poll(10, TimeUnit.SECONDS)).isEqualTo("e1:after");
        }

        @Test
        void reconnectsToAPeerAtItsNewAddress() {
            relay.cut();
            first.setPeers(List.of(peer(E2, second.listenAddress())));
            awaitSuccessfulCall();
            first.setPeers(List.of());
            assertThat(failure(call("gone", TIMEOUT)).kind()).isEqualTo(ErrorKind.UNAVAILABLE);
        }
    }

    @Nested
    class Refusals {
        private FrameConnection openFrameConnection() throws IOException {
            Socket socket = closer.register(new Socket());
            socket.connect(second.listenAddress());
            return FrameConnection.of(socket, TIMEOUT, new TcpPeerCounters(), TICKER);
        }

        private Frame.Hello hello(int version, String cluster, HostId target) {
            return new Frame.Hello(version, cluster, HostId.of("e9"), DATA_CENTRE, target, 5, 7);
        }

        private String refusal(Frame.Hello hello) throws IOException {
            FrameConnection connection = openFrameConnection();
            connection.write(hello);
            connection.flush();
            Frame.Refused refused = (Frame.Refused) connection.read();
            assertThat(refused.code()).isEqualTo(ErrorKind.INCOMPATIBLE_PEER.code());
            assertThrows(IOException.class, connection::read);
            return refused.message();
        }

        @Test
        void nameBothHostsOfAMismatch() throws IOException {
            assertThat(refusal(hello(1, "strings", E2))).isEqualTo("e9 belongs to cluster 'strings', e2 to 'seating'");
            assertThat(refusal(hello(2, "seating", E2))).isEqualTo("e9 speaks protocol version 2, e2 speaks 1");
            assertThat(refusal(hello(1, "seating", E1))).isEqualTo("the address of e1 reaches e2");
            await(TIMEOUT, () -> second.counters().refusedHandshakes() == 3);
        }

        @Test
        void rejectAPeerOfAnotherCluster() {
            TcpPeerNetwork otherCluster = open("strings", HostId.of("e3"));
            otherCluster.setPeers(List.of(peer(E2, second.listenAddress())));

            await(TIMEOUT, () -> otherCluster.counters().refusedHandshakes() >= 2);

            assertThat(otherCluster.peers().get(0).connected()).isFalse();
        }

        @Test
        void closeConnectionsThatBreakTheProtocol() throws IOException {
            byte[][] invalidFrames = {
                {0x7f, 0, 0, 0}, {0, 0, 0, 0}, {-1, -1, -1, -1}, {0, 0, 0, 2, (byte) 0xc1, 1}, {0, 0, 0, 2, 4, 2},
            };
            for (byte[] invalidFrame : invalidFrames) {
                Socket socket = closer.register(new Socket());
                socket.connect(second.listenAddress());
                socket.setSoTimeout((int) TIMEOUT.toMillis());
                new DataOutputStream(socket.getOutputStream()).write(invalidFrame);
                assertThat(socket.getInputStream().read()).isEqualTo(-1);
            }
            await(TIMEOUT, () -> second.counters().malformedFrames() == invalidFrames.length);
        }

        @Test
        void closeConnectionsWithRepeatedFrames() throws IOException {
            Socket socket = closer.register(new Socket());
            socket.connect(second.listenAddress());
            FrameConnection connection = FrameConnection.of(socket, TIMEOUT, new TcpPeerCounters(), TICKER);
            connection.write(hello(1, "seating", E2));
            connection.flush();
            assertThat(connection.read()).isInstanceOf(Frame.Welcome.class);
            byte[] frame = FrameCodec.encodeHead(2, new Frame.Message(PeerChannel.CONSENSUS, new byte[0]));
            DataOutputStream raw = new DataOutputStream(socket.getOutputStream());
            for (int copy = 0; copy < 2; copy++) {
                raw.writeInt(frame.length);
                raw.write(frame);
            }
            await(TIMEOUT, () -> second.counters().malformedFrames() == 1);
            assertThat(received).hasSize(1);
        }

        @Test
        void closeConnectionsThatRepeatAHello() throws IOException {
            for (int copy = 0; copy < 2; copy++) {
                FrameConnection connection = openFrameConnection();
                connection.write(hello(1, "seating", E2));
                connection.flush();
                assertThat(connection.read()).isInstanceOf(Frame.Welcome.class);
            }
            await(TIMEOUT, () -> second.counters().malformedFrames() == 1);
        }
    }
}
