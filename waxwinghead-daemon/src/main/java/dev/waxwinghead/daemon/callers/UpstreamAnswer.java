package dev.waxwinghead.daemon.callers;

import dev.waxwinghead.daemon.upstreams.Upstream;
import java.util.List;
import java.util.Map;

/**
 * Holds an upstream's answer, whole or still arriving.
 *
 * @param upstream the upstream
 * @param status the HTTP status
 * @param headers all headers as they came
 * @param body the body
 * @param verifiable whether the end of the body can be told from a break
 */
record UpstreamAnswer(
        Upstream upstream, int status, Map<String, List<String>> headers, AnswerBody body, boolean verifiable) {}
