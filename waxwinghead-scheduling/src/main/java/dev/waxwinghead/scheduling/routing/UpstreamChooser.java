package dev.waxwinghead.scheduling.routing;

import dev.waxwinghead.model.id.DataCentreId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses an upstream: the cheaper of two that are drawn at random, from the own data centre while it has free slots.
 *
 * <p>While most upstreams are ejected, the fault is likely not theirs: then ejection is passed over.
 *
 * @see <a href="https://doi.org/10.1109/71.963420">Mitzenmacher: The Power of Two Choices in Randomized Load
 *     Balancing</a>
 * @since 0.1
 */
public final class UpstreamChooser {
    private final DataCentreId own;
    private final RandomGenerator random;

    private UpstreamChooser(DataCentreId own, RandomGenerator random) {
        this.own = own;
        this.random = random;
    }

    /**
     * Returns a chooser for an entry host.
     *
     * @param own the entry host's data centre
     * @param random draws the candidates
     * @return the chooser, never null
     */
    public static UpstreamChooser create(DataCentreId own, RandomGenerator random) {
        return new UpstreamChooser(own, random);
    }

    /**
     * Chooses among the upstreams that admit a request.
     *
     * @param upstreams all upstreams of the service that may be used
     * @param now the time, in nanoseconds
     * @return the choice, empty if none admits a request
     */
    public Optional<UpstreamLoad> choose(Collection<UpstreamLoad> upstreams, long now) {
        List<UpstreamLoad> near = new ArrayList<>(upstreams.size());
        List<UpstreamLoad> far = new ArrayList<>();
        boolean mostEjected = mostEjected(upstreams, now);
        for (UpstreamLoad upstream : upstreams) {
            if (mostEjected ? upstream.free() > 0 : upstream.admits(now)) {
                (upstream.dataCentre().equals(own) ? near : far).add(upstream);
            }
        }
        List<UpstreamLoad> candidates = near.isEmpty() ? far : near;
        return candidates.isEmpty() ? Optional.empty() : Optional.of(cheaperOfTwo(candidates, now));
    }

    private static boolean mostEjected(Collection<UpstreamLoad> upstreams, long now) {
        long ejected =
                upstreams.stream().filter(upstream -> upstream.ejected(now)).count();
        return ejected * 2 > upstreams.size();
    }

    private UpstreamLoad cheaperOfTwo(List<UpstreamLoad> candidates, long now) {
        int size = candidates.size();
        int first = random.nextInt(size);
        if (size == 1) {
            return candidates.get(first);
        }
        int second = (first + 1 + random.nextInt(size - 1)) % size;
        UpstreamLoad one = candidates.get(first);
        UpstreamLoad other = candidates.get(second);
        return one.cost(now) <= other.cost(now) ? one : other;
    }
}
