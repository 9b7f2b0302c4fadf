package dev.waxwinghead.daemon.http;

import com.sun.net.httpserver.Headers;
import com.sun.net.httpserver.HttpContext;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpPrincipal;
import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.concurrent.atomic.AtomicBoolean;

/** Forwards to another exchange and runs an action once when its response is complete or it is closed. */
final class TrackedExchange extends HttpExchange {
    private static final int NO_BODY = -1;

    private final HttpExchange exchange;
    private final long earliestArrivalNanos;
    private final Runnable onEnd;
    private final AtomicBoolean ended = new AtomicBoolean();

    TrackedExchange(HttpExchange exchange, long earliestArrivalNanos, Runnable onEnd) {
        this.exchange = exchange;
        this.earliestArrivalNanos = earliestArrivalNanos;
        this.onEnd = onEnd;
    }

    long earliestArrivalNanos() {
        return earliestArrivalNanos;
    }

    private void end() {
        if (ended.compareAndSet(false, true)) {
            onEnd.run();
        }
    }

    @Override
    public void close() {
        try {
            exchange.close();
        } finally {
            end();
        }
    }

    @Override
    public void sendResponseHeaders(int status, long length) throws IOException {
        exchange.sendResponseHeaders(status, length);
        if (length == NO_BODY) {
            end();
        }
    }

    @Override
    public OutputStream getResponseBody() {
        return new ResponseBody(exchange.getResponseBody());
    }

    @Override
    public Headers getRequestHeaders() {
        return exchange.getRequestHeaders();
    }

    @Override
    public Headers getResponseHeaders() {
        return exchange.getResponseHeaders();
    }

    @Override
    public URI getRequestURI() {
        return exchange.getRequestURI();
    }

    @Override
    public String getRequestMethod() {
        return exchange.getRequestMethod();
    }

    @Override
    public HttpContext getHttpContext() {
        return exchange.getHttpContext();
    }

    @Override
    public InputStream getRequestBody() {
        return exchange.getRequestBody();
    }

    @Override
    public InetSocketAddress getRemoteAddress() {
        return exchange.getRemoteAddress();
    }

    @Override
    public int getResponseCode() {
        return exchange.getResponseCode();
    }

    @Override
    public InetSocketAddress getLocalAddress() {
        return exchange.getLocalAddress();
    }

    @Override
    public String getProtocol() {
        return exchange.getProtocol();
    }

    @Override
    public Object getAttribute(String name) {
        return exchange.getAttribute(name);
    }

    @Override
    public void setAttribute(String name, Object value) {
        exchange.setAttribute(name, value);
    }

    @Override
    public void setStreams(InputStream input, OutputStream output) {
        exchange.setStreams(input, output);
    }

    @Override
    public HttpPrincipal getPrincipal() {
        return exchange.getPrincipal();
    }

    private final class ResponseBody extends FilterOutputStream {
        ResponseBody(OutputStream body) {
            super(body);
        }

        @Override
        public void write(byte[] bytes, int offset, int length) throws IOException {
            // The superclass writes single bytes.
            out.write(bytes, offset, length);
        }

        @Override
        public void close() throws IOException {
            try {
                out.close();
            } finally {
                end();
            }
        }
    }
}
