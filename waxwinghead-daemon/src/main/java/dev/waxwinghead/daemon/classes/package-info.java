/** Job classes: the document that names the queues callers submit to, its shared state and the lookup by request. */
package dev.waxwinghead.daemon.classes;
