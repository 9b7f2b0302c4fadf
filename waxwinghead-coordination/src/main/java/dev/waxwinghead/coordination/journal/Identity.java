package dev.waxwinghead.coordination.journal;

import dev.waxwinghead.model.id.ReplicaId;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.UUID;

/**
 * Identifies the replica that a data folder belongs to.
 *
 * <p>Stored as a text file with one value per line: the format, the cluster, the replica, and the checksum of these
 * lines in hexadecimal.
 *
 * @param cluster the name of the cluster
 * @param replica the id of the replica
 */
record Identity(String cluster, ReplicaId replica) {
    static final String FILE_NAME = "identity";

    private static final String FORMAT = "waxwinghead-identity-1";
    private static final int LINE_COUNT = 4;

    static Identity createRandom(FileOperations operations, Path folder, String cluster) throws IOException {
        Identity identity = new Identity(cluster, ReplicaId.of(UUID.randomUUID().toString()));
        String text = FORMAT + "\n" + cluster + "\n" + identity.replica + "\n";
        byte[] content = (text + checksum(text) + "\n").getBytes(StandardCharsets.UTF_8);
        AtomicFiles.write(operations, folder.resolve(FILE_NAME), content);
        return identity;
    }

    static Identity read(FileOperations operations, Path folder) throws IOException {
        Path file = folder.resolve(FILE_NAME);
        String text = new String(operations.read(file), StandardCharsets.UTF_8);
        List<String> lines = text.lines().toList();
        if (lines.size() != LINE_COUNT || !lines.get(0).equals(FORMAT)) {
            throw StorageFailures.damaged(file, 0, "the file is not an identity file of format " + FORMAT);
        }
        String checksummed = String.join("\n", lines.subList(0, LINE_COUNT - 1)) + "\n";
        if (!text.equals(checksummed + checksum(checksummed) + "\n")) {
            throw StorageFailures.damaged(file, checksummed.length(), "the checksum does not match");
        }
        return new Identity(lines.get(1), ReplicaId.of(lines.get(2)));
    }

    private static String checksum(String text) {
        int value = Checksums.of(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
        return Integer.toHexString(value);
    }
}
