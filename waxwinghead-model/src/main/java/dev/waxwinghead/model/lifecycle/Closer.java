package dev.waxwinghead.model.lifecycle;

import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Closes registered resources in reverse order of their registration.
 *
 * <p>If a resource fails to close, the others are closed nevertheless. The exception thrown at the end has the first
 * failure as its cause, with the later failures suppressed.
 *
 * @since 0.1
 */
public final class Closer implements AutoCloseable {
    private final Deque<AutoCloseable> resources = new ArrayDeque<>();
    private boolean closed;

    private Closer() {}

    /**
     * Creates a closer without resources.
     *
     * @return the closer, never null
     */
    public static Closer create() {
        return new Closer();
    }

    /**
     * Registers a resource to be closed by {@link #close()}.
     *
     * @param resource the resource
     * @param <T> the type of the resource
     * @return the resource
     * @throws IllegalStateException if the closer is already closed
     */
    public synchronized <T extends AutoCloseable> T register(T resource) {
        if (closed) {
            throw new IllegalStateException("the closer is already closed");
        }
        resources.push(resource);
        return resource;
    }

    @Override
    public synchronized void close() {
        closed = true;
        Exception first = null;
        while (!resources.isEmpty()) {
            try {
                resources.pop().close();
            } catch (Exception e) {
                if (first == null) {
                    first = e;
                } else {
                    first.addSuppressed(e);
                }
            }
        }
        if (first != null) {
            throw WaxwingheadException.of(
                    ErrorKind.INTERNAL, "a resource can't be closed", "see the cause; the others are closed", first);
        }
    }
}
