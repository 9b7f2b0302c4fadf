/** Utilities for writing and reading MessagePack. */
package dev.waxwinghead.daemon.codec;
