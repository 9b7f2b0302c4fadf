/** In-memory replica storage, for learners without a disk and for tests. */
package dev.waxwinghead.coordination.memory;
