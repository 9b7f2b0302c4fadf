package dev.waxwinghead.coordination.tcp;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.jboss.logging.Logger;

/** Logs the state of a connection or handler only when the state changes. */
final class StateChangeLogger {
    private static final Logger LOG = Logger.getLogger(TcpPeerNetwork.class);

    /** The maximum number of subjects, to limit the memory that unauthenticated clients can occupy. */
    private static final int MAX_SUBJECTS = 256;

    private final Map<String, String> states = new ConcurrentHashMap<>();

    void logIfChanged(String subject, String state) {
        if (states.size() > MAX_SUBJECTS) {
            states.clear();
        }
        if (!state.equals(states.put(subject, state))) {
            LOG.infof("%s: %s", subject, state);
        }
    }
}
