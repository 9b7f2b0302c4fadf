package dev.waxwinghead.scheduling.routing;

import dev.waxwinghead.model.id.DataCentreId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses the upstream with the lower cost of two random candidates, from the local data centre while an upstream there
 * admits a request.
 *
 * <p>While more than half of the upstreams are ejected, the cause is probably not the upstreams, so ejection is
 * ignored.
 *
 * @see <a href="https://doi.org/10.1109/71.963420">Mitzenmacher: The Power of Two Choices in Randomized Load
 *     Balancing</a>
 * @since 0.1
 */
public final class UpstreamChooser {
    private final DataCentreId localDataCentre;
    private final RandomGenerator random;

    private UpstreamChooser(DataCentreId localDataCentre, RandomGenerator random) {
        this.localDataCentre = localDataCentre;
        this.random = random;
    }

    /**
     * Returns a chooser for an entry host.
     *
     * @param localDataCentre the entry host's data centre
     * @param random the source of randomness for the choice of candidates
     * @return the chooser, never null
     */
    public static UpstreamChooser create(DataCentreId localDataCentre, RandomGenerator random) {
        return new UpstreamChooser(localDataCentre, random);
    }

    /**
     * Chooses among the upstreams that admit a request.
     *
     * @param upstreams all usable upstreams of the service
     * @param now the current time, in nanoseconds
     * @return the chosen upstream, empty if no upstream admits a request
     */
    public Optional<UpstreamLoad> choose(Collection<UpstreamLoad> upstreams, long now) {
        List<UpstreamLoad> local = new ArrayList<>(upstreams.size());
        List<UpstreamLoad> remote = new ArrayList<>();
        boolean mostEjected = mostEjected(upstreams, now);
        for (UpstreamLoad upstream : upstreams) {
            if (mostEjected ? upstream.freeSlots() > 0 : upstream.admits(now)) {
                (upstream.dataCentre().equals(localDataCentre) ? local : remote).add(upstream);
            }
        }
        List<UpstreamLoad> candidates = local.isEmpty() ? remote : local;
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
