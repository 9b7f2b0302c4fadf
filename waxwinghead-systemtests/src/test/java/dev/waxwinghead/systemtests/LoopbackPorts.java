package dev.waxwinghead.systemtests;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Finds free loopback ports.
 *
 * <p>They lie below the range from which the system gives ports to outgoing connections, so that a port stays free
 * until the process that is to have it opens it, and again while that process restarts.
 */
final class LoopbackPorts {
    private static final int FIRST = 10_000;
    private static final int COUNT = 20_000;

    private int next = ThreadLocalRandom.current().nextInt(COUNT);

    /** Returns the address of a port that was free a moment ago and that this object has not returned before. */
    synchronized String next() {
        for (int i = 0; i < COUNT; i++) {
            int port = FIRST + next;
            next = (next + 1) % COUNT;
            if (free(port)) {
                return "127.0.0.1:" + port;
            }
        }
        throw new IllegalStateException("no free loopback port");
    }

    private static boolean free(int port) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
