/** The network interface through which entry hosts exchange messages. */
package dev.waxwinghead.coordination.peer;
