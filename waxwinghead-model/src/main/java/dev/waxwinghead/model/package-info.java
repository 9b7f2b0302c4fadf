/** The value types that all modules share. No type does I/O or depends on another module. */
package dev.waxwinghead.model;
