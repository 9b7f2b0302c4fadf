/** Ownership of resources and their orderly release. */
package dev.waxwinghead.model.lifecycle;
