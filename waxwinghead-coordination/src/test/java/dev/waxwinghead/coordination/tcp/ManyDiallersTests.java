package dev.waxwinghead.coordination.tcp;

import static com.google.common.truth.Truth.assertThat;

import dev.waxwinghead.coordination.peer.PeerAddress;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.lifecycle.Closer;
import dev.waxwinghead.model.time.Ticker;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against members of the log that can't connect because entry hosts hold all connections of a peer port. */
class ManyDiallersTests {
    private static final DataCentreId DATA_CENTRE = DataCentreId.of("dc1");
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final int ENTRY_HOSTS = 64;

    private final Closer closer = Closer.create();

    @AfterEach
    void close() {
        closer.close();
    }

    private TcpPeerNetwork open(String host) {
        TcpPeerSettings settings = TcpPeerSettings.of("seating", HostId.of(host), DATA_CENTRE, ANY_PORT);
        return closer.register(TcpPeerNetwork.open(settings, Ticker.system()));
    }

    private static boolean connects(TcpPeerNetwork network, int seconds) throws InterruptedException {
        for (int i = 0; i < 20 * seconds; i++) {
            if (network.peers().get(0).connected()) {
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }

    @Test
    void memberOfTheLogConnectsWhileManyEntryHostsAreConnected() throws InterruptedException {
        TcpPeerNetwork member = open("member");
        PeerAddress address = new PeerAddress(member.self(), DATA_CENTRE, member.listenAddress());
        for (int i = 0; i < ENTRY_HOSTS; i++) {
            TcpPeerNetwork entry = open("entry-" + i);
            entry.setPeers(List.of(address));
            assertThat(connects(entry, 10)).isTrue();
        }
        TcpPeerNetwork other = open("other");
        other.setPeers(List.of(address));
        assertThat(connects(other, 10)).isTrue();
    }
}
