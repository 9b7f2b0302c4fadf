package dev.waxwinghead.daemon.callers;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/** Tells which headers pass between callers and upstreams: end-to-end ones that are not ours. */
final class HeaderRules {
    static final String TENANT = "Waxwinghead-Tenant";
    static final String CLASS = "Waxwinghead-Class";
    static final String DEADLINE = "Waxwinghead-Deadline-Ms";
    static final String KIND = "Waxwinghead-Kind";
    static final String OUTCOME = "Waxwinghead-Outcome";
    static final String UPSTREAM = "Waxwinghead-Upstream";
    static final String REPLAYED = "Waxwinghead-Replayed";
    static final String KEY = "Idempotency-Key";

    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "http2-settings");
    private static final Set<String> SET_BY_CLIENT = Set.of("host", "content-length", "expect", "idempotency-key");
    private static final Set<String> SET_BY_SERVER = Set.of("content-length", "date");
    private static final String OWN_PREFIX = "waxwinghead-";
    private static final Pattern LIST_SEPARATOR = Pattern.compile("\\s*,\\s*");

    private HeaderRules() {}

    /** Returns the headers of a caller's request that go to the upstream. */
    static Map<String, List<String>> toUpstream(Map<String, List<String>> headers) {
        return pass(headers, SET_BY_CLIENT);
    }

    /** Returns the headers of an upstream's answer that go to the caller. */
    static Map<String, List<String>> toCaller(Map<String, List<String>> headers) {
        return pass(headers, SET_BY_SERVER);
    }

    private static Map<String, List<String>> pass(Map<String, List<String>> headers, Set<String> dropped) {
        Set<String> named = namedByConnection(headers);
        Map<String, List<String>> passed = new LinkedHashMap<>();
        headers.forEach((name, values) -> {
            String lower = name.toLowerCase(Locale.ROOT);
            boolean own = lower.startsWith(OWN_PREFIX);
            if (!own && !HOP_BY_HOP.contains(lower) && !dropped.contains(lower) && !named.contains(lower)) {
                passed.put(name, List.copyOf(values));
            }
        });
        return passed;
    }

    private static Set<String> namedByConnection(Map<String, List<String>> headers) {
        Set<String> named = new HashSet<>();
        headers.forEach((name, values) -> {
            if (name.equalsIgnoreCase("connection")) {
                List<String> all = new ArrayList<>();
                values.forEach(value -> all.addAll(List.of(LIST_SEPARATOR.split(value.trim()))));
                all.forEach(each -> named.add(each.toLowerCase(Locale.ROOT)));
            }
        });
        return named;
    }
}
