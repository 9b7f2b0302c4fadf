/** Stand-ins and tools for tests: a worker, an upstream, a load program and a TCP relay. */
package dev.waxwinghead.testkit;
