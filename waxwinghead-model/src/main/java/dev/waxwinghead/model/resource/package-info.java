/** Amounts of processor time, memory and accelerators. */
package dev.waxwinghead.model.resource;
