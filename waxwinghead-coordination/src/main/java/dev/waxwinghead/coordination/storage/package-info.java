/** The port through which a replica keeps its part of the log on disk. */
package dev.waxwinghead.coordination.storage;
