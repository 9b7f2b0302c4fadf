/** A TCP relay that simulates network failures on the connections that pass through it. */
package dev.waxwinghead.testkit.relay;
