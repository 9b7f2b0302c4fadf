package dev.waxwinghead.model.manifest;

/**
 * Names a stored manifest.
 *
 * @param kind the kind
 * @param name the name, unique within the kind
 * @since 0.1
 */
public record ManifestKey(ManifestKind kind, String name) implements Comparable<ManifestKey> {
    /**
     * Returns the key of the given kind and name.
     *
     * @param kind the kind
     * @param name the name
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
