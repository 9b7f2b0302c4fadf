package dev.waxwinghead.coordination.tcp;

import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.HostId;
import java.io.IOException;
import java.security.SecureRandom;

/** Opens a connection: both sides check that they speak the same protocol and belong to the same cluster. */
final class Handshake {
    /** The version of the protocol that this program speaks. */
    static final int PROTOCOL_VERSION = 1;

    private static final SecureRandom RANDOM = new SecureRandom();

    private final TcpPeerSettings settings;

    Handshake(TcpPeerSettings settings) {
        this.settings = settings;
    }

    /**
     * Greets the other side and waits for its welcome.
     *
     * @throws WaxwingheadException of kind {@code INCOMPATIBLE_PEER} if either side refuses
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
            throw new FrameException(FrameException.Reason.UNEXPECTED, "no welcome to this connection");
        }
        checkPeer(welcome.version(), welcome.cluster(), welcome.host());
        checkTarget(target, welcome.host());
        connection.allowPayloads(settings.maxFrameBytes());
    }

    /**
     * Reads the other side's greeting and welcomes or refuses it.
     *
     * @return the greeting
     * @throws WaxwingheadException of kind {@code INCOMPATIBLE_PEER} if it was refused
     */
    Frame.Hello accept(FrameConnection connection) throws IOException {
        if (!(connection.read() instanceof Frame.Hello hello)) {
            throw new FrameException(FrameException.Reason.UNEXPECTED, "no hello");
        }
        try {
            checkPeer(hello.version(), hello.cluster(), hello.host());
            checkTarget(hello.target(), settings.host());
        } catch (WaxwingheadException e) {
            connection.write(Failures.refusal(e));
            connection.flush();
            throw e;
        }
        connection.write(new Frame.Welcome(
                PROTOCOL_VERSION, settings.cluster(), settings.host(), settings.dataCentre(), hello.nonce()));
        connection.flush();
        connection.allowPayloads(settings.maxFrameBytes());
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
                    "correct the cluster name or the peers' addresses in the settings");
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
