/** The client of the operators' HTTP interface, which goes on to the next entry host when one is gone. */
package dev.waxwinghead.cli.client;
