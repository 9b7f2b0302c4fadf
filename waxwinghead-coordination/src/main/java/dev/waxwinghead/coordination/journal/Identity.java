package dev.waxwinghead.coordination.journal;

import dev.waxwinghead.model.id.ReplicaId;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.UUID;

/**
 * Tells which replica a data folder belongs to.
 *
 * <p>The file is text, one value a line: format, cluster, replica and the checksum of those lines in hexadecimal.
 *
 * @param cluster the name of the cluster
 * @param replica the replica
 */
record Identity(String cluster, ReplicaId replica) {
    static final String FILE = "identity";

    private static final String FORMAT = "waxwinghead-identity-1";
    private static final int LINES = 4;

    static Identity createRandom(FileOperations operations, Path folder, String cluster) throws IOException {
        Identity identity = new Identity(cluster, ReplicaId.of(UUID.randomUUID().toString()));
        String text = FORMAT + "\n" + cluster + "\n" + identity.replica + "\n";
        byte[] whole = (text + checksum(text) + "\n").getBytes(StandardCharsets.UTF_8);
        AtomicFiles.write(operations, folder.resolve(FILE), whole);
        return identity;
    }

    static Identity read(FileOperations operations, Path folder) throws IOException {
        Path file = folder.resolve(FILE);
        String text = new String(operations.read(file), StandardCharsets.UTF_8);
        List<String> lines = text.lines().toList();
        if (lines.size() != LINES || !lines.get(0).equals(FORMAT)) {
            throw StorageFailures.damaged(file, 0, "it is not an identity file of format " + FORMAT);
        }
        String checked = String.join("\n", lines.subList(0, LINES - 1)) + "\n";
        if (!text.equals(checked + checksum(checked) + "\n")) {
            throw StorageFailures.damaged(file, checked.length(), "its checksum does not match");
        }
        return new Identity(lines.get(1), ReplicaId.of(lines.get(2)));
    }

    private static String checksum(String text) {
        int value = Checksums.of(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
        return Integer.toHexString(value);
    }
}
