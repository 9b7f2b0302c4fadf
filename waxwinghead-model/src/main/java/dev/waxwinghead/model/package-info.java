/** The vocabulary that all modules share. Nothing in it does I/O or depends on another module. */
package dev.waxwinghead.model;
