package dev.waxwinghead.daemon.callers;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;

/**
 * Receives the body of an upstream's answer.
 *
 * <p>A short body is gathered whole before the caller sees anything, so that one that breaks off can still be refused
 * or resent. A longer one, or that of a feed, is handed to a sink piece by piece, and no thread waits in between.
 */
final class AnswerBody implements HttpResponse.BodySubscriber<AnswerBody> {
    /** The longest body that is gathered before it is passed on, in bytes. */
    static final int GATHERED_BYTES = 64 * 1024;

    private final CompletableFuture<AnswerBody> ready = new CompletableFuture<>();
    private final ByteArrayOutputStream gathered = new ByteArrayOutputStream(1024);
    private final boolean streamed;
    private Flow.Subscription subscription;
    private volatile AnswerSink sink;
    private volatile long writingSince;
    private boolean ended;
    private boolean closed;
    private Throwable failure;

    private AnswerBody(boolean streamed) {
        this.streamed = streamed;
    }

    /** Returns a body that is gathered as far as the bound. */
    static AnswerBody gathered() {
        return new AnswerBody(false);
    }

    /** Returns a body that is ready as soon as the headers are there. */
    static AnswerBody streamed() {
        return new AnswerBody(true);
    }

    /** Tells whether the whole body has arrived. */
    synchronized boolean whole() {
        return ended && failure == null && !streamed;
    }

    /** Returns the bytes that have arrived. */
    synchronized byte[] bytes() {
        return gathered.toByteArray();
    }

    /** Passes all bytes to the sink, now and as they arrive. */
    synchronized void pipeTo(AnswerSink receiver) {
        sink = receiver;
        if (write(ByteBuffer.wrap(gathered.toByteArray()))) {
            if (ended) {
                finishSink();
            } else {
                subscription.request(1);
            }
        }
        gathered.reset();
    }

    /** Breaks the body off if it has not ended. */
    void cancel(Throwable cause) {
        AnswerSink receiver = sink;
        if (receiver != null) {
            receiver.breakOff();
        }
        synchronized (this) {
            if (ended) {
                return;
            }
            ended = true;
            failure = cause;
            if (subscription != null) {
                subscription.cancel();
            }
            finishSink();
        }
        ready.completeExceptionally(cause);
    }

    /** Tells whether a write to the caller has been blocked for longer than the given time. */
    boolean stalled(Duration longest) {
        long since = writingSince;
        return since != 0 && System.nanoTime() - since > longest.toNanos();
    }

    /** Ends a feed on this side: the caller sees a whole body, the upstream a closed connection. */
    synchronized void finishEarly(byte[] finalEvent) {
        if (!ended && sink != null && write(ByteBuffer.wrap(finalEvent))) {
            ended = true;
            subscription.cancel();
            finishSink();
        }
    }

    @Override
    public CompletionStage<AnswerBody> getBody() {
        return ready;
    }

    @Override
    public void onSubscribe(Flow.Subscription given) {
        synchronized (this) {
            subscription = given;
            if (ended) {
                given.cancel();
                return;
            }
        }
        if (streamed) {
            ready.complete(this);
        } else {
            given.request(1);
        }
    }

    @Override
    public void onNext(List<ByteBuffer> buffers) {
        boolean overflow;
        synchronized (this) {
            if (ended) {
                return;
            }
            if (sink != null) {
                passOn(buffers);
                return;
            }
            buffers.forEach(this::gather);
            overflow = gathered.size() > GATHERED_BYTES;
        }
        if (overflow) {
            ready.complete(this);
        } else {
            subscription.request(1);
        }
    }

    @Override
    public void onError(Throwable cause) {
        synchronized (this) {
            if (ended) {
                return;
            }
            ended = true;
            failure = cause;
            finishSink();
        }
        ready.completeExceptionally(cause);
    }

    @Override
    public void onComplete() {
        synchronized (this) {
            if (ended) {
                return;
            }
            ended = true;
            finishSink();
        }
        ready.complete(this);
    }

    private void passOn(List<ByteBuffer> buffers) {
        for (ByteBuffer buffer : buffers) {
            if (!write(buffer)) {
                return;
            }
        }
        subscription.request(1);
    }

    private boolean write(ByteBuffer bytes) {
        if (closed || !bytes.hasRemaining()) {
            return !closed;
        }
        try {
            writingSince = System.nanoTime() | 1;
            sink.write(bytes);
            writingSince = 0;
            return true;
        } catch (IOException e) {
            ended = true;
            failure = e;
            subscription.cancel();
            finishSink();
            return false;
        }
    }

    private void finishSink() {
        if (sink == null || closed) {
            return;
        }
        closed = true;
        if (failure == null) {
            sink.finish();
        } else {
            sink.abort(failure);
        }
    }

    private void gather(ByteBuffer buffer) {
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        gathered.write(bytes, 0, bytes.length);
    }
}
