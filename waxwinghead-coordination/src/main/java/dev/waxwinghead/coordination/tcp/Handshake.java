package dev.waxwinghead.coordination.tcp;

import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.HostId;
import java.io.IOException;
import java.security.SecureRandom;

/** Performs the handshake of a connection, in which both sides check that protocol version and cluster match. */
final class Handshake {
    /** The supported protocol version. */
    static final int PROTOCOL_VERSION = 1;

    private static final SecureRandom RANDOM = new SecureRandom();

    private final TcpPeerSettings settings;

    Handshake(TcpPeerSettings settings) {
        this.settings = settings;
    }

    /**
     * Sends a hello and waits for the welcome of the other side.
     *
     * @throws WaxwingheadException of kind {@code INCOMPATIBLE_PEER} if either side refuses the connection
     */
    void dial(FrameConnection connection, HostId target) throws IOException {
        long nonce = RANDOM.nextLong();
        connection.write(new Frame.Hello(
                PROTOCOL_VERSION,
                settings.cluster(),
                settings.host(),
                settings.dataCentre(),
                target,
                RANDOM.nextLong(),
                nonce));
        connection.flush();
        Frame reply = connection.read();
        if (reply instanceof Frame.Refused refused) {
            throw WaxwingheadException.of(ErrorKind.ofCode(refused.code()), refused.message(), refused.remedy());
        }
        if (!(reply instanceof Frame.Welcome welcome) || welcome.nonce() != nonce) {
            throw new FrameException(
                    FrameException.Reason.UNEXPECTED, "expected a welcome frame with the nonce of this connection");
        }
        checkPeer(welcome.version(), welcome.cluster(), welcome.host());
        checkTarget(target, welcome.host());
        connection.setMaxPayloadBytes(settings.maxPayloadBytes());
    }

    /**
     * Reads the hello of the other side and answers with a welcome or a refusal.
     *
     * @return the hello, never null
     * @throws WaxwingheadException of kind {@code INCOMPATIBLE_PEER} if the connection was refused
     */
    Frame.Hello accept(FrameConnection connection) throws IOException {
        if (!(connection.read() instanceof Frame.Hello hello)) {
            throw new FrameException(FrameException.Reason.UNEXPECTED, "expected a hello frame");
        }
        try {
            checkPeer(hello.version(), hello.cluster(), hello.host());
            checkTarget(hello.target(), settings.host());
        } catch (WaxwingheadException e) {
            connection.write(FailureFrames.toRefused(e));
            connection.flush();
            throw e;
        }
        connection.write(new Frame.Welcome(
                PROTOCOL_VERSION, settings.cluster(), settings.host(), settings.dataCentre(), hello.nonce()));
        connection.flush();
        connection.setMaxPayloadBytes(settings.maxPayloadBytes());
        return hello;
    }

    private void checkPeer(int version, String cluster, HostId host) {
        if (version != PROTOCOL_VERSION) {
            throw incompatible(
                    host + " speaks protocol version " + version + ", " + settings.host() + " speaks "
                            + PROTOCOL_VERSION,
                    "run the same version on both hosts");
        }
        if (!cluster.equals(settings.cluster())) {
            throw incompatible(
                    host + " belongs to cluster '" + cluster + "', " + settings.host() + " to '" + settings.cluster()
                            + "'",
                    "correct the cluster name or the addresses of the peers in the settings");
        }
    }

    private static void checkTarget(HostId target, HostId reached) {
        if (!target.equals(reached)) {
            throw incompatible(
                    "the address of " + target + " reaches " + reached,
                    "correct the address of " + target + " in the settings");
        }
    }

    private static WaxwingheadException incompatible(String message, String remedy) {
        return WaxwingheadException.of(ErrorKind.INCOMPATIBLE_PEER, message, remedy);
    }
}
