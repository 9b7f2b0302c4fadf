import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.UnaryOperator;

/** One HTTP/1.1 connection of a client, a worker or the operator. */
final class Http implements AutoCloseable {
    /** A response; the names of the headers are in lower case. */
    record Response(int status, Map<String, String> headers, String body) {}

    private final Socket socket = new Socket();
    private final InputStream input;
    private final String address;

    /** Gives the address to connect to in place of an address, where a link of the test stands between. */
    static volatile UnaryOperator<String> link = address -> address;

    Http(String address, int timeoutMillis) throws IOException {
        this.address = address;
        String at = link.apply(address);
        int colon = at.lastIndexOf(':');
        socket.setTcpNoDelay(true);
        socket.connect(
                new InetSocketAddress(at.substring(0, colon), Integer.parseInt(at.substring(colon + 1))),
                timeoutMillis);
        socket.setSoTimeout(timeoutMillis);
        input = new BufferedInputStream(socket.getInputStream());
    }

    /** Makes one request on a new connection, following at most two redirects. */
    static Response call(String address, String method, String path, String host, String body, int timeoutMillis)
            throws IOException {
        String at = address;
        for (int hop = 0; ; hop++) {
            try (Http http = new Http(at, timeoutMillis)) {
                http.send(method, path, host, body, timeoutMillis);
                Response response = http.receive(timeoutMillis);
                if (response.status != 307 || hop == 2) {
                    return response;
                }
                String location = response.headers.getOrDefault("location", "").replaceFirst("^http://", "");
                at = location.substring(0, location.indexOf('/'));
            }
        }
    }

    void send(String method, String path, String host, String body, int deadlineMillis) throws IOException {
        byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
        String head = method + " " + path + " HTTP/1.1\r\nHost: " + (host == null ? address : host)
                + "\r\nDeadline-Ms: " + deadlineMillis
                + "\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length + "\r\n\r\n";
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.getBytes(StandardCharsets.US_ASCII));
        all.write(bytes);
        socket.getOutputStream().write(all.toByteArray());
        socket.getOutputStream().flush();
    }

    Response receive(int timeoutMillis) throws IOException {
        socket.setSoTimeout(timeoutMillis);
        String status = line();
        Map<String, String> headers = new TreeMap<>();
        for (String line = line(); !line.isEmpty(); line = line()) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = input.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("the response ends early");
        }
        return new Response(Integer.parseInt(status.split(" ")[1]), headers, new String(body, StandardCharsets.UTF_8));
    }

    private String line() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int next = input.read();
        while (next != '\n') {
            if (next < 0) {
                throw new EOFException("the connection ended");
            }
            if (next != '\r') {
                out.write(next);
            }
            next = input.read();
        }
        return out.toString(StandardCharsets.US_ASCII);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
