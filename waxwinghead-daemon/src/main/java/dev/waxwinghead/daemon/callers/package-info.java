/** The callers' interface: admits requests, forwards each to an upstream and returns whole answers. */
package dev.waxwinghead.daemon.callers;
