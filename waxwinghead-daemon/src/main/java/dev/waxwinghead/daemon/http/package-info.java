/** The daemon's HTTP servers on the JDK's server, with typed errors as JSON. */
package dev.waxwinghead.daemon.http;
