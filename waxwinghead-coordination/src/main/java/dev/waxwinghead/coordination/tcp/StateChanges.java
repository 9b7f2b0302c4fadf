package dev.waxwinghead.coordination.tcp;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.jboss.logging.Logger;

/** Logs the state of each peer when it changes, and only then. */
final class StateChanges {
    private static final Logger LOG = Logger.getLogger(TcpPeerNetwork.class);

    /** Bounds what strangers can make this host remember. */
    private static final int MAX_SUBJECTS = 256;

    private final Map<String, String> states = new ConcurrentHashMap<>();

    void note(String subject, String state) {
        if (states.size() > MAX_SUBJECTS) {
            states.clear();
        }
        if (!state.equals(states.put(subject, state))) {
            LOG.infof("%s: %s", subject, state);
        }
    }
}
