package dev.waxwinghead.model.manifest;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Reads and writes manifests as YAML and JSON.
 *
 * <p>Reading is strict: a text with an unknown field, a missing field or a value out of range is rejected as a whole.
 *
 * @since 0.1
 */
public final class Manifests {
    /** The size limit of a text, in characters. */
    public static final int MAX_TEXT_CHARACTERS = 4 * 1024 * 1024;

    private static final ObjectMapper YAML = YAMLMapper.builder(YAMLFactory.builder()
                    .streamReadConstraints(ReadLimits.constraints())
                    .build())
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private static final ObjectMapper JSON = JsonMapper.builder(JsonFactory.builder()
                    .streamReadConstraints(ReadLimits.constraints())
                    .build())
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private Manifests() {}

    /**
     * Returns the strict JSON mapper for the types of this module.
     *
     * @return the shared mapper, never null
     */
    public static ObjectMapper jsonMapper() {
        return JSON;
    }

    /**
     * Reads all documents of a YAML text. JSON is valid YAML.
     *
     * @param text the text
     * @return the manifests in the order of the text, never null
     * @throws WaxwingheadException if the text is malformed, empty or too large, or contains two manifests with the
     *     same key
     */
    public static List<Manifest> readYaml(String text) {
        if (text.length() > MAX_TEXT_CHARACTERS) {
            throw WaxwingheadException.of(
                    ErrorKind.TOO_LARGE,
                    "the manifest has " + text.length() + " characters",
                    "split it into texts of at most " + MAX_TEXT_CHARACTERS);
        }
        List<Manifest> manifests = readDocuments(text);
        checkKeysUnique(manifests);
        return manifests;
    }

    /**
     * Writes a manifest as JSON.
     *
     * @param manifest the manifest
     * @return one line of JSON, never null
     */
    public static String writeJson(Manifest manifest) {
        try {
            return JSON.writerFor(Manifest.class).writeValueAsString(manifest);
        } catch (JsonProcessingException e) {
            throw WaxwingheadException.of(
                    ErrorKind.INTERNAL, "manifest " + manifest.key() + " can't be written", "report this fault", e);
        }
    }

    /**
     * Reads one manifest from JSON.
     *
     * @param json the text
     * @return the manifest, never null
     * @throws WaxwingheadException if the text is malformed or invalid
     */
    public static Manifest readJson(String json) {
        try {
            return JSON.readValue(json, Manifest.class);
        } catch (JsonProcessingException e) {
            throw malformed(e);
        }
    }

    /**
     * Converts a failure of the JSON or YAML library.
     *
     * @param failure the exception of the library
     * @return the {@link WaxwingheadException} in the chain of causes, or else a new one of kind
     *     {@link ErrorKind#INVALID_INPUT}; never null
     */
    public static WaxwingheadException malformed(IOException failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (cause instanceof WaxwingheadException typed) {
                return typed;
            }
        }
        String message = failure instanceof JsonProcessingException malformed
                ? malformed.getOriginalMessage()
                : String.valueOf(failure.getMessage());
        return WaxwingheadException.of(
                ErrorKind.INVALID_INPUT,
                "the text is malformed: " + message,
                "correct it; docs/OPERATIONS.md lists the fields of each kind",
                failure);
    }

    private static List<Manifest> readDocuments(String text) {
        List<Manifest> manifests = new ArrayList<>();
        try (MappingIterator<Manifest> documents =
                YAML.readerFor(Manifest.class).readValues(text)) {
            while (documents.hasNextValue()) {
                Manifest manifest = documents.nextValue();
                if (manifest != null) {
                    manifests.add(manifest);
                }
            }
        } catch (IOException e) {
            throw malformed(e);
        }
        if (manifests.isEmpty()) {
            throw WaxwingheadException.of(
                    ErrorKind.INVALID_INPUT, "the text contains no manifest", "give at least one document with a kind");
        }
        return manifests;
    }

    private static void checkKeysUnique(List<Manifest> manifests) {
        Set<ManifestKey> keys = new HashSet<>();
        for (Manifest manifest : manifests) {
            if (!keys.add(manifest.key())) {
                throw WaxwingheadException.of(
                        ErrorKind.INVALID_INPUT,
                        manifest.key() + " appears twice in the text",
                        "remove one of the two documents");
            }
        }
    }
}
