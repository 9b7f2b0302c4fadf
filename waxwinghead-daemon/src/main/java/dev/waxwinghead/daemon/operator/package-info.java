/** The operators' HTTP interface: changes, resources, status, drains, members and metrics. */
package dev.waxwinghead.daemon.operator;
