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
 * Subscribes to the body of an upstream's answer.
 *
 * <p>A body of at most {@link #MAX_BUFFERED_BYTES} is buffered completely before the caller receives any byte, so that
 * the request can still be refused or resent if the body is truncated. A longer body, or that of a feed, is written to
 * an {@link AnswerSink} as its buffers arrive; no thread is blocked between two buffers.
 */
final class AnswerBody implements HttpResponse.BodySubscriber<AnswerBody> {
    /** The largest body that is buffered before it is forwarded, in bytes. */
    static final int MAX_BUFFERED_BYTES = 64 * 1024;

    private final CompletableFuture<AnswerBody> ready = new CompletableFuture<>();
    private final ByteArrayOutputStream buffered = new ByteArrayOutputStream(1024);
    private final boolean streamed;
    private Flow.Subscription subscription;
    private volatile AnswerSink sink;
    private volatile long writeStartedAt;
    private boolean ended;
    private boolean sinkClosed;
    private Throwable failure;

    private AnswerBody(boolean streamed) {
        this.streamed = streamed;
    }

    /** Returns a body that is buffered up to {@link #MAX_BUFFERED_BYTES}. */
    static AnswerBody buffered() {
        return new AnswerBody(false);
    }

    /** Returns a body that is available as soon as the headers have arrived. */
    static AnswerBody streamed() {
        return new AnswerBody(true);
    }

    /** Returns whether the body has arrived completely and is buffered. */
    synchronized boolean isComplete() {
        return ended && failure == null && !streamed;
    }

    /** Returns the bytes buffered so far. */
    synchronized byte[] bufferedBytes() {
        return buffered.toByteArray();
    }

    /** Writes the buffered bytes to a sink, and all further bytes as they arrive. */
    synchronized void pipeTo(AnswerSink target) {
        sink = target;
        if (write(ByteBuffer.wrap(buffered.toByteArray()))) {
            if (ended) {
                finishSink();
            } else {
                subscription.request(1);
            }
        }
        buffered.reset();
    }

    /** Aborts the body unless it has ended. */
    void cancel(Throwable cause) {
        AnswerSink target = sink;
        if (target != null) {
            target.closeConnection();
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

    /** Returns whether the current write to the caller has been blocked for longer than the given time. */
    boolean isStalled(Duration limit) {
        long startedAt = writeStartedAt;
        return startedAt != 0 && System.nanoTime() - startedAt > limit.toNanos();
    }

    /** Ends a feed on this host: the caller receives a complete body, the upstream a closed connection. */
    synchronized void endFeed(byte[] finalEvent) {
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
    public void onSubscribe(Flow.Subscription newSubscription) {
        synchronized (this) {
            subscription = newSubscription;
            if (ended) {
                newSubscription.cancel();
                return;
            }
        }
        if (streamed) {
            ready.complete(this);
        } else {
            newSubscription.request(1);
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
                forward(buffers);
                return;
            }
            buffers.forEach(this::appendToBuffer);
            overflow = buffered.size() > MAX_BUFFERED_BYTES;
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

    private void forward(List<ByteBuffer> buffers) {
        for (ByteBuffer buffer : buffers) {
            if (!write(buffer)) {
                return;
            }
        }
        subscription.request(1);
    }

    private boolean write(ByteBuffer bytes) {
        if (sinkClosed || !bytes.hasRemaining()) {
            return !sinkClosed;
        }
        try {
            // 0 stands for no write in progress.
            writeStartedAt = System.nanoTime() | 1;
            sink.write(bytes);
            writeStartedAt = 0;
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
        if (sink == null || sinkClosed) {
            return;
        }
        sinkClosed = true;
        if (failure == null) {
            sink.finish();
        } else {
            sink.abort(failure);
        }
    }

    private void appendToBuffer(ByteBuffer buffer) {
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        buffered.write(bytes, 0, bytes.length);
    }
}
