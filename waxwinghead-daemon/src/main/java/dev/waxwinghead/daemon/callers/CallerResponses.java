package dev.waxwinghead.daemon.callers;

import com.sun.net.httpserver.Headers;
import com.sun.net.httpserver.HttpExchange;
import dev.waxwinghead.daemon.http.JsonExchange;
import dev.waxwinghead.model.error.WaxwingheadException;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** Writes answers and error responses to callers. */
final class CallerResponses {
    private static final int NO_BODY = -1;
    private static final int CHUNKED = 0;

    private final BooleanSupplier leaving;

    private CallerResponses(BooleanSupplier leaving) {
        this.leaving = leaving;
    }

    /**
     * Returns a writer that closes the callers' connections while the host is leaving.
     *
     * @param leaving returns whether the host is leaving
     */
    static CallerResponses create(BooleanSupplier leaving) {
        return new CallerResponses(leaving);
    }

    /** Writes an error response and finishes the exchange. */
    void refuse(HttpExchange exchange, Outcome outcome, WaxwingheadException failure) {
        exchange.getResponseHeaders().set(HeaderRules.OUTCOME, outcome.text());
        closeIfLeaving(exchange);
        JsonExchange.fail(exchange, failure);
    }

    /** Writes a complete answer and finishes the exchange. */
    void respond(HttpExchange exchange, int status, Map<String, List<String>> headers, byte[] body) {
        try (exchange) {
            Headers out = exchange.getResponseHeaders();
            headers.forEach((name, values) -> out.put(name, new ArrayList<>(values)));
            closeIfLeaving(exchange);
            boolean bodiless = exchange.getRequestMethod().equals("HEAD") || status == 204 || status == 304;
            exchange.sendResponseHeaders(status, bodiless || body.length == 0 ? NO_BODY : body.length);
            if (!bodiless && body.length > 0) {
                exchange.getResponseBody().write(body);
            }
        } catch (IOException e) {
            exchange.close();
        }
    }

    /**
     * Writes the status and headers of an answer and returns the sink for its body.
     *
     * @param length the length of the body, or a negative number if it is unknown
     * @param ended receives null once the body is complete, or the cause if it is aborted
     */
    AnswerSink startStreaming(
            HttpExchange exchange,
            int status,
            Map<String, List<String>> headers,
            long length,
            Consumer<Throwable> ended)
            throws IOException {
        Headers out = exchange.getResponseHeaders();
        headers.forEach((name, values) -> out.put(name, new ArrayList<>(values)));
        closeIfLeaving(exchange);
        exchange.sendResponseHeaders(status, length > 0 ? length : CHUNKED);
        return ExchangeSink.open(exchange, ended);
    }

    private void closeIfLeaving(HttpExchange exchange) {
        if (leaving.getAsBoolean()) {
            exchange.getResponseHeaders().set("Connection", "close");
        }
    }

    /** Writes a body to an exchange and closes the connection if the body is aborted. */
    private static final class ExchangeSink implements AnswerSink {
        private final HttpExchange exchange;
        private final OutputStream body;
        private final Consumer<Throwable> ended;
        private final AtomicBoolean closed = new AtomicBoolean();

        private ExchangeSink(HttpExchange exchange, OutputStream body, Consumer<Throwable> ended) {
            this.exchange = exchange;
            this.body = body;
            this.ended = ended;
        }

        static ExchangeSink open(HttpExchange exchange, Consumer<Throwable> ended) {
            return new ExchangeSink(exchange, exchange.getResponseBody(), ended);
        }

        @Override
        public void write(ByteBuffer bytes) throws IOException {
            byte[] chunk = new byte[bytes.remaining()];
            bytes.get(chunk);
            body.write(chunk);
            body.flush();
        }

        @Override
        public void finish() {
            if (closed.compareAndSet(false, true)) {
                exchange.close();
            }
            ended.accept(null);
        }

        @Override
        public void abort(Throwable cause) {
            closeConnection();
            ended.accept(cause);
        }

        @Override
        public void closeConnection() {
            if (!closed.compareAndSet(false, true)) {
                return;
            }
            // Closing the exchange closes its stream; if that fails, the server closes the connection, so the caller
            // can't take the truncated body for a complete one.
            exchange.setStreams(null, new FailingStream());
            exchange.close();
            try {
                body.close();
            } catch (IOException e) {
                // The connection is already closed; closing the stream only releases the server's resources.
            }
        }
    }

    /** Fails on closing, so that the server doesn't end the exchange as if its body were complete. */
    private static final class FailingStream extends OutputStream {
        @Override
        public void write(int value) throws IOException {
            throw new IOException("the answer was aborted");
        }

        @Override
        public void close() throws IOException {
            throw new IOException("the answer was aborted");
        }
    }
}
