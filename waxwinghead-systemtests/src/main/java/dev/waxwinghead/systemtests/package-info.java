/** Tests that start the real programs as processes. */
package dev.waxwinghead.systemtests;
