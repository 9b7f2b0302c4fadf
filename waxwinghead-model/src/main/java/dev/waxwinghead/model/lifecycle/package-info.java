/** Ownership and ordered release of resources. */
package dev.waxwinghead.model.lifecycle;
