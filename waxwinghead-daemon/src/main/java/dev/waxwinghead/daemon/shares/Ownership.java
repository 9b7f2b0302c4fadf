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
 * Divides the resources of an upstream between the entry hosts of its data centre, which own and lease them.
 *
 * <p>The division depends on the settings alone, so that ownership never moves between hosts: all entry hosts must have
 * the same list of peers. An upstream in a data centre without entry hosts is owned by all entry hosts.
 */
final class Ownership {
    private final Map<DataCentreId, List<HostId>> byDataCentre = new HashMap<>();
    private final List<HostId> allHosts;

    private Ownership(Collection<PeerAddress> hosts) {
        allHosts = hosts.stream().map(PeerAddress::host).sorted().distinct().toList();
        for (PeerAddress peer : hosts) {
            byDataCentre.computeIfAbsent(
                    peer.dataCentre(),
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
        return allHosts;
    }

    List<HostId> owners(Upstream upstream) {
        return byDataCentre.getOrDefault(upstream.dataCentre(), allHosts);
    }

    /** Returns how much of the resource the host owns. The hosts that get the remainder differ between upstreams. */
    int ownedAmount(Upstream upstream, Resource resource, HostId host) {
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
