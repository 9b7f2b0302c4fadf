/** The callers' interface: admits requests, forwards each to an upstream and returns complete answers. */
package dev.waxwinghead.daemon.callers;
