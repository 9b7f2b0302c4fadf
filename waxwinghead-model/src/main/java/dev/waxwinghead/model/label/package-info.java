/** Labels and the selectors that match them. */
package dev.waxwinghead.model.label;
