/** Amounts of processors, memory and accelerators. */
package dev.waxwinghead.model.resource;
