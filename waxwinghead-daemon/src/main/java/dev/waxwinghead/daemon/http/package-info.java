/** HTTP listeners based on the JDK's HTTP server, with typed errors as JSON. */
package dev.waxwinghead.daemon.http;
