/** A simulated upstream: an HTTP server whose behaviour is selected by the request path. */
package dev.waxwinghead.testkit.upstream;
