package dev.waxwinghead.cli.check;

import com.fasterxml.jackson.core.exc.StreamReadException;
import com.fasterxml.jackson.databind.JsonMappingException;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.manifest.Manifest;
import dev.waxwinghead.model.manifest.ManifestKey;
import dev.waxwinghead.model.manifest.Manifests;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Holds the manifests of a YAML text with their lines, and the faults of the documents that are no valid manifests.
 *
 * @since 0.2
 */
public final class ManifestText {
    private static final Pattern SEPARATOR = Pattern.compile("---(\\s.*)?");
    private static final Pattern LINE_OF_PARSER = Pattern.compile(" in 'reader', line (\\d+)");
    private static final Pattern FIELD_AT_START = Pattern.compile("([A-Za-z]+) is .*", Pattern.DOTALL);

    private final Map<ManifestKey, Entry> entries = new LinkedHashMap<>();
    private final List<Finding> findings = new ArrayList<>();

    private ManifestText() {}

    /**
     * Reads the documents of a text one by one, so that the faults of all of them are found.
     *
     * @param text the YAML text
     * @return the manifests and faults, never null
     * @throws WaxwingheadException of kind {@code INVALID_INPUT} with the line if the text is no YAML, or if it has no
     *     document; of kind {@code TOO_LARGE} if it exceeds {@link Manifests#MAX_TEXT_CHARACTERS}
     */
    public static ManifestText read(String text) {
        if (text.length() > Manifests.MAX_TEXT_CHARACTERS) {
            throw WaxwingheadException.of(
                    ErrorKind.TOO_LARGE,
                    "the text has " + text.length() + " characters",
                    "split it into texts of at most " + Manifests.MAX_TEXT_CHARACTERS);
        }
        ManifestText result = new ManifestText();
        List<String> lines = text.lines().toList();
        int start = 0;
        for (int i = 0; i <= lines.size(); i++) {
            if (i == lines.size() || SEPARATOR.matcher(lines.get(i)).matches()) {
                result.readDocument(lines.subList(start, i), start + 1);
                start = i + 1;
            }
        }
        if (result.entries.isEmpty() && result.findings.isEmpty()) {
            throw WaxwingheadException.of(
                    ErrorKind.INVALID_INPUT, "the text contains no manifest", "give at least one document with a kind");
        }
        return result;
    }

    /**
     * Returns the valid manifests.
     *
     * @return the manifests in the order of the text, never null
     */
    public List<Entry> entries() {
        return List.copyOf(entries.values());
    }

    /**
     * Returns the faults of the documents that are no valid manifests.
     *
     * @return the faults in the order of the text, never null
     */
    public List<Finding> findings() {
        return List.copyOf(findings);
    }

    private void readDocument(List<String> lines, int firstLine) {
        int content = 0;
        while (content < lines.size() && isBlank(lines.get(content))) {
            content++;
        }
        if (content == lines.size()) {
            return;
        }
        int line = firstLine + content;
        try {
            Manifests.readYaml(String.join("\n", lines)).forEach(manifest -> add(manifest, line));
        } catch (WaxwingheadException e) {
            addInvalid(e, lines, firstLine, line);
        }
    }

    private static boolean isBlank(String line) {
        return line.isBlank() || line.strip().startsWith("#");
    }

    private void add(Manifest manifest, int line) {
        Entry earlier = entries.putIfAbsent(manifest.key(), new Entry(line, manifest));
        if (earlier != null) {
            findings.add(new Finding(
                    Finding.Kind.INVALID,
                    line,
                    manifest.key().toString(),
                    manifest.key() + " appears twice, first in line " + earlier.line(),
                    "remove one of the two documents"));
        }
    }

    private void addInvalid(WaxwingheadException failure, List<String> lines, int firstLine, int contentLine) {
        String message = oneLine(failure.reason());
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (cause instanceof StreamReadException syntax) {
                int line = firstLine + Math.min(lineOfSyntaxError(failure, syntax), lines.size()) - 1;
                throw WaxwingheadException.of(
                        ErrorKind.INVALID_INPUT, "line " + line + ": " + message, failure.remedy(), failure);
            }
        }
        int line = fieldOf(failure)
                .flatMap(field -> find(field, lines))
                .map(index -> firstLine + index)
                .orElse(contentLine);
        findings.add(new Finding(Finding.Kind.INVALID, line, null, message, failure.remedy()));
    }

    /** Returns the last line that the YAML parser names; the location of the exception may be that of the context. */
    private static int lineOfSyntaxError(WaxwingheadException failure, StreamReadException syntax) {
        int line = syntax.getLocation() == null ? 1 : syntax.getLocation().getLineNr();
        for (Matcher mark = LINE_OF_PARSER.matcher(failure.reason()); mark.find(); ) {
            line = Integer.parseInt(mark.group(1));
        }
        return Math.max(1, line);
    }

    /** Returns the field that a failure is about, empty if the failure names none. */
    private static Optional<String> fieldOf(WaxwingheadException failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (cause instanceof JsonMappingException mapping
                    && !mapping.getPath().isEmpty()) {
                List<JsonMappingException.Reference> path = mapping.getPath();
                return Optional.ofNullable(path.get(path.size() - 1).getFieldName());
            }
        }
        Matcher field = FIELD_AT_START.matcher(failure.reason());
        return field.matches() ? Optional.of(field.group(1)) : Optional.empty();
    }

    private static Optional<Integer> find(String field, List<String> lines) {
        Pattern key = Pattern.compile("\\b" + Pattern.quote(field) + "[\"']?\\s*:");
        return IntStream.range(0, lines.size())
                .filter(i -> !isBlank(lines.get(i)) && key.matcher(lines.get(i)).find())
                .boxed()
                .findFirst();
    }

    /** Leaves out the excerpts of the parser, which are indented and count the lines from the document's start. */
    private static String oneLine(String message) {
        return message.lines()
                .filter(line -> !line.isBlank() && !Character.isWhitespace(line.charAt(0)))
                .collect(Collectors.joining(", "));
    }

    /**
     * A valid manifest of the text.
     *
     * @param line the first line of its document, from 1
     * @param manifest the manifest, never null
     */
    public record Entry(int line, Manifest manifest) {}
}
