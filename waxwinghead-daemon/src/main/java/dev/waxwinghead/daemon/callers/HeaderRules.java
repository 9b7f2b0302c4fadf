package dev.waxwinghead.daemon.callers;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/** Selects the headers forwarded between callers and upstreams: end-to-end headers without the reserved prefix. */
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
    private static final String RESERVED_PREFIX = "waxwinghead-";
    private static final Pattern LIST_SEPARATOR = Pattern.compile("\\s*,\\s*");

    private HeaderRules() {}

    /** Returns the headers of a caller's request that are forwarded to the upstream. */
    static Map<String, List<String>> toUpstream(Map<String, List<String>> headers) {
        return filter(headers, SET_BY_CLIENT);
    }

    /** Returns the headers of an upstream's answer that are forwarded to the caller. */
    static Map<String, List<String>> toCaller(Map<String, List<String>> headers) {
        return filter(headers, SET_BY_SERVER);
    }

    private static Map<String, List<String>> filter(Map<String, List<String>> headers, Set<String> excluded) {
        Set<String> options = connectionOptions(headers);
        Map<String, List<String>> forwarded = new LinkedHashMap<>();
        headers.forEach((name, values) -> {
            String lower = name.toLowerCase(Locale.ROOT);
            boolean reserved = lower.startsWith(RESERVED_PREFIX);
            if (!reserved && !HOP_BY_HOP.contains(lower) && !excluded.contains(lower) && !options.contains(lower)) {
                forwarded.put(name, List.copyOf(values));
            }
        });
        return forwarded;
    }

    private static Set<String> connectionOptions(Map<String, List<String>> headers) {
        Set<String> options = new HashSet<>();
        headers.forEach((name, values) -> {
            if (name.equalsIgnoreCase("connection")) {
                List<String> elements = new ArrayList<>();
                values.forEach(value -> elements.addAll(List.of(LIST_SEPARATOR.split(value.trim()))));
                elements.forEach(element -> options.add(element.toLowerCase(Locale.ROOT)));
            }
        });
        return options;
    }
}
