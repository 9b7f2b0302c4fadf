package dev.waxwinghead.systemtests;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Finds free loopback ports.
 *
 * <p>The ports lie below the ephemeral range that the system uses for outgoing connections. A port therefore stays free
 * until the process that it is meant for listens on it, and while that process restarts.
 */
final class LoopbackPorts {
    private static final int FIRST_PORT = 10_000;
    private static final int PORT_COUNT = 20_000;

    private int next = ThreadLocalRandom.current().nextInt(PORT_COUNT);

    /** Returns an address, as {@code ip:port}, whose port was free when checked and was not returned before. */
    synchronized String next() {
        for (int i = 0; i < PORT_COUNT; i++) {
            int port = FIRST_PORT + next;
            next = (next + 1) % PORT_COUNT;
            if (isFree(port)) {
                return "127.0.0.1:" + port;
            }
        }
        throw new IllegalStateException("no free loopback port");
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
