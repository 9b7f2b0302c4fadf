/** Typed errors whose messages name the remedy. */
package dev.waxwinghead.model.error;
