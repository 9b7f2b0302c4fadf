package dev.waxwinghead.testkit.relay;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.Executor;

/** Relays the bytes of one connection in both directions. */
final class RelayedConnection implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 << 10;

    private final Socket client;
    private final Socket server = new Socket();
    private final RelayGate gate;
    private final RelayGate replyGate;
    private volatile boolean dropping;

    private RelayedConnection(Socket client, RelayGate gate, RelayGate replyGate) {
        this.client = client;
        this.gate = gate;
        this.replyGate = replyGate;
    }

    static RelayedConnection of(Socket client, RelayGate gate, RelayGate replyGate) throws IOException {
        client.setTcpNoDelay(true);
        return new RelayedConnection(client, gate, replyGate);
    }

    /** Discards all further bytes. If one side then closes the connection, the other side stays open. */
    void dropTraffic() {
        dropping = true;
    }

    boolean closed() {
        return client.isClosed() && server.isClosed();
    }

    void run(InetSocketAddress target, Executor executor) {
        try {
            gate.awaitNotFrozen();
            server.setTcpNoDelay(true);
            server.connect(target);
            executor.execute(() -> copy(server, client));
            copy(client, server);
        } catch (IOException e) {
            closeUnlessDropping();
        } catch (InterruptedException e) {
            close();
        }
    }

    private void copy(Socket from, Socket to) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            int length = input.read(buffer);
            while (length >= 0) {
                gate.awaitNotFrozen();
                if (from == server) {
                    replyGate.awaitNotFrozen();
                }
                if (!dropping) {
                    output.write(buffer, 0, length);
                }
                length = input.read(buffer);
            }
            gate.awaitNotFrozen();
            closeUnlessDropping();
        } catch (IOException e) {
            closeUnlessDropping();
        } catch (InterruptedException e) {
            close();
        }
    }

    private void closeUnlessDropping() {
        if (!dropping) {
            close();
        }
    }

    @Override
    public void close() {
        closeQuietly(client);
        closeQuietly(server);
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            return; // Nothing more can be done to release the socket.
        }
    }
}
