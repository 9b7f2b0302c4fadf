/** Test tools: simulated workers and upstreams, a load generator and a TCP relay. */
package dev.waxwinghead.testkit;
