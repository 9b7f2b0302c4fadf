/** System tests, which start the programs as processes. */
package dev.waxwinghead.systemtests;
