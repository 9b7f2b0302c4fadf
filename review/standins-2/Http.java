import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Sends one HTTP/1.1 request on a connection of its own. */
final class Http {
    private Http() {}

    /** An answer; the status is 0 if there was none. */
    record Answer(int status, Map<String, String> headers, String body) {
        static final Answer NONE = new Answer(0, Map.of(), "");

        boolean success() {
            return status >= 200 && status < 300;
        }
    }

    /** Sends a request and waits for the answer until the timeout has passed since the call. */
    static Answer call(String address, String method, String path, String host, String body, int timeoutMillis) {
        return call(address, method, path, host, body, timeoutMillis, "");
    }

    static Answer call(
            String address, String method, String path, String host, String body, int timeoutMillis, String headers) {
        long end = System.nanoTime() + timeoutMillis * 1_000_000L;
        try (Socket socket = new Socket()) {
            int colon = address.lastIndexOf(':');
            socket.connect(
                    new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                    timeoutMillis);
            socket.setTcpNoDelay(true);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + (host.isEmpty() ? address : host)
                    + "\r\nContent-Type: application/json\r\n" + headers + "Connection: close\r\nContent-Length: "
                    + bytes.length + "\r\n\r\n";
            ByteArrayOutputStream request = new ByteArrayOutputStream();
            request.writeBytes(head.getBytes(StandardCharsets.UTF_8));
            request.writeBytes(bytes);
            socket.getOutputStream().write(request.toByteArray());
            socket.getOutputStream().flush();
            return read(socket, end);
        } catch (IOException | RuntimeException e) {
            return Answer.NONE;
        }
    }

    private static Answer read(Socket socket, long end) throws IOException {
        InputStream in = socket.getInputStream();
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.UTF_8).endsWith("\r\n\r\n")) {
            head.write(next(socket, in, end));
        }
        String[] lines = head.toString(StandardCharsets.UTF_8).split("\r\n");
        Map<String, String> headers = new HashMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            headers.put(lines[i].substring(0, colon).toLowerCase(Locale.ROOT), lines[i].substring(colon + 1).strip());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = new byte[length];
        int count = 0;
        while (count < length) {
            timeout(socket, end);
            int read = in.read(body, count, length - count);
            if (read < 0) {
                throw new IOException("the answer is cut short");
            }
            count += read;
        }
        return new Answer(
                Integer.parseInt(lines[0].split(" ")[1]), headers, new String(body, StandardCharsets.UTF_8));
    }

    private static int next(Socket socket, InputStream in, long end) throws IOException {
        timeout(socket, end);
        int next = in.read();
        if (next < 0) {
            throw new IOException("the connection ended");
        }
        return next;
    }

    private static void timeout(Socket socket, long end) throws IOException {
        long left = (end - System.nanoTime()) / 1_000_000;
        if (left <= 0) {
            throw new IOException("no answer in time");
        }
        socket.setSoTimeout((int) left);
    }
}
