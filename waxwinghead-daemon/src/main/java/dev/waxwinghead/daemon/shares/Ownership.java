package dev.waxwinghead.daemon.shares;

import dev.waxwinghead.coordination.peer.PeerAddress;
import dev.waxwinghead.daemon.upstreams.Upstream;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Divides an upstream's slots between the entry hosts of its data centre, which own and lend them.
 *
 * <p>The division depends on the settings alone, so that it never changes hands: all entry hosts must have the same
 * list of peers. An upstream in a data centre without entry hosts is owned by all.
 */
final class Ownership {
    private final Map<DataCentreId, List<HostId>> byDataCentre = new HashMap<>();
    private final List<HostId> all;

    private Ownership(Collection<PeerAddress> hosts) {
        all = hosts.stream().map(PeerAddress::host).sorted().distinct().toList();
        for (PeerAddress each : hosts) {
            byDataCentre.computeIfAbsent(
                    each.dataCentre(),
                    dataCentre -> hosts.stream()
                            .filter(host -> host.dataCentre().equals(dataCentre))
                            .map(PeerAddress::host)
                            .sorted()
                            .distinct()
                            .toList());
        }
    }

    static Ownership of(Collection<PeerAddress> hosts) {
        return new Ownership(hosts);
    }

    List<HostId> hosts() {
        return all;
    }

    List<HostId> owners(Upstream upstream) {
        return byDataCentre.getOrDefault(upstream.dataCentre(), all);
    }

    /** Returns how much of the resource the host owns; the odd ones go to other hosts for other upstreams. */
    int part(Upstream upstream, Resource resource, HostId host) {
        List<HostId> owners = owners(upstream);
        int index = owners.indexOf(host);
        if (index < 0) {
            return 0;
        }
        int total = resource.total(upstream);
        int shifted = Math.floorMod(index + upstream.id().hashCode(), owners.size());
        return total / owners.size() + (shifted < total % owners.size() ? 1 : 0);
    }
}
