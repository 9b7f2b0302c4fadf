package dev.waxwinghead.model.lifecycle;

import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Gathers resources and closes them in the reverse order.
 *
 * <p>A failure to close one does not keep the others open; the first failure is thrown with the later ones suppressed.
 *
 * @since 0.1
 */
public final class Closer implements AutoCloseable {
    private final Deque<AutoCloseable> resources = new ArrayDeque<>();
    private boolean closed;

    private Closer() {}

    /**
     * Returns an empty closer.
     *
     * @return the closer, never null
     */
    public static Closer create() {
        return new Closer();
    }

    /**
     * Takes ownership of a resource.
     *
     * @param resource the resource
     * @param <T> its type
     * @return the resource
     * @throws IllegalStateException if the closer is closed already
     */
    public synchronized <T extends AutoCloseable> T register(T resource) {
        if (closed) {
            throw new IllegalStateException("the closer is closed");
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
