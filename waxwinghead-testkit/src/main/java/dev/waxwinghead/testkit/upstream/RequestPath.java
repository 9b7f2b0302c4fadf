package dev.waxwinghead.testkit.upstream;

import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import java.net.URI;
import java.util.Arrays;
import java.util.List;

/**
 * Represents the path of a request.
 *
 * @param segments the non-empty segments, the first of which names the behaviour; never null
 */
record RequestPath(List<String> segments) {
    static RequestPath from(URI uri) {
        return new RequestPath(Arrays.stream(uri.getPath().split("/", -1))
                .filter(segment -> !segment.isEmpty())
                .toList());
    }

    String behaviour() {
        return segments.isEmpty() ? "echo" : segments.get(0);
    }

    String text(int position) {
        if (position >= segments.size()) {
            throw WaxwingheadException.of(
                    ErrorKind.INVALID_INPUT, "the path has too few segments", "see docs/WORKERS.md");
        }
        return segments.get(position);
    }

    long number(int position) {
        try {
            return Long.parseLong(text(position));
        } catch (NumberFormatException e) {
            throw WaxwingheadException.of(
                    ErrorKind.INVALID_INPUT,
                    "path segment '" + text(position) + "' is no number",
                    "give a whole number",
                    e);
        }
    }

    long number(int position, long defaultValue) {
        return position < segments.size() ? number(position) : defaultValue;
    }
}
