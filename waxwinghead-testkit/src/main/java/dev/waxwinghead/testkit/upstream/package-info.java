/** A stand-in upstream: an HTTP server whose behaviour the request path chooses. */
package dev.waxwinghead.testkit.upstream;
