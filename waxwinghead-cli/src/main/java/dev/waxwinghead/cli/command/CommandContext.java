package dev.waxwinghead.cli.command;

import java.io.InputStream;
import java.util.Map;

/**
 * Provides the environment of the process to a command.
 *
 * @param environment the environment variables, never null
 * @param input the standard input, never null
 * @since 0.1
 */
public record CommandContext(Map<String, String> environment, InputStream input) {}
