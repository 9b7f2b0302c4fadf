/** Job classes: the document that declares them, its section of the shared state and the lookup by request. */
package dev.waxwinghead.daemon.classes;
