package dev.waxwinghead.cli.command;

import java.io.InputStream;
import java.util.Map;

/**
 * Holds what a command gets from the process.
 *
 * @param environment the environment variables
 * @param input the standard input
 * @since 0.1
 */
public record CommandContext(Map<String, String> environment, InputStream input) {}
