/** A stand-in worker: polls entry hosts, obeys their commands and runs made-up tasks under leases. */
package dev.waxwinghead.testkit.worker;
