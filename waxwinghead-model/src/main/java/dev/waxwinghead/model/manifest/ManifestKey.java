package dev.waxwinghead.model.manifest;

/**
 * Identifies a stored manifest.
 *
 * @param kind the kind of the manifest
 * @param name the name, unique within the kind
 * @since 0.1
 */
public record ManifestKey(ManifestKind kind, String name) implements Comparable<ManifestKey> {
    /**
     * Creates a key.
     *
     * @param kind the kind of the manifest
     * @param name the name, unique within the kind
     * @return the key, never null
     */
    public static ManifestKey of(ManifestKind kind, String name) {
        return new ManifestKey(kind, name);
    }

    @Override
    public int compareTo(ManifestKey other) {
        int byKind = kind.compareTo(other.kind);
        return byKind != 0 ? byKind : name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return kind.text() + "/" + name;
    }
}
