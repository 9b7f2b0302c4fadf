/** Simulated workers that poll entry hosts, carry out their commands and run simulated tasks under leases. */
package dev.waxwinghead.testkit.worker;
