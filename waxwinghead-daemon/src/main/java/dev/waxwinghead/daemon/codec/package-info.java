/** Helpers to write and read MessagePack. */
package dev.waxwinghead.daemon.codec;
