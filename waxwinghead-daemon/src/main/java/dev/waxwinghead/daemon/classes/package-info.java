/** Job classes: the document of the queues that callers submit to, its section of the shared state and the lookup. */
package dev.waxwinghead.daemon.classes;
