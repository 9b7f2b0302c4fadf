/** A TCP relay that cuts, freezes or forgets the connections that pass through it. */
package dev.waxwinghead.testkit.relay;
