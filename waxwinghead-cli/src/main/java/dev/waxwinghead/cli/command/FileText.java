package dev.waxwinghead.cli.command;

import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.manifest.Manifests;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;

/** Reads the text of manifests from a file or the standard input. */
final class FileText {
    private static final String STANDARD_INPUT = "-";

    private FileText() {}

    /**
     * Reads a file as UTF-8.
     *
     * @param file the path, or {@code -} for the standard input
     * @throws WaxwingheadException if the file can't be read or is too large
     */
    static String read(String file, InputStream standardInput) {
        try (InputStream input = file.equals(STANDARD_INPUT) ? standardInput : Files.newInputStream(Path.of(file))) {
            byte[] bytes = input.readNBytes(Manifests.MAX_TEXT_CHARACTERS + 1);
            if (bytes.length > Manifests.MAX_TEXT_CHARACTERS) {
                throw WaxwingheadException.of(
                        ErrorKind.TOO_LARGE,
                        file + " has more than " + Manifests.MAX_TEXT_CHARACTERS + " bytes",
                        "split it into several files");
            }
            return new String(bytes, StandardCharsets.UTF_8);
        } catch (IOException | InvalidPathException e) {
            throw WaxwingheadException.of(
                    ErrorKind.INVALID_INPUT,
                    file + " can't be read",
                    "give a readable file, or - for the standard input",
                    e);
        }
    }
}
