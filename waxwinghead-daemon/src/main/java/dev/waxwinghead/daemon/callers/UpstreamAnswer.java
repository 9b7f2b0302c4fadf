package dev.waxwinghead.daemon.callers;

import dev.waxwinghead.daemon.upstreams.Upstream;
import java.util.List;
import java.util.Map;

/**
 * Represents an upstream's answer, whose body may still be arriving.
 *
 * @param upstream the upstream
 * @param status the HTTP status
 * @param headers all headers as received
 * @param body the body
 * @param verifiable whether a complete body can be distinguished from a truncated one
 */
record UpstreamAnswer(
        Upstream upstream, int status, Map<String, List<String>> headers, AnswerBody body, boolean verifiable) {}
