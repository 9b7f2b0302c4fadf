/** The HTTP interface for operators: changes, resources, status, drains, members and metrics. */
package dev.waxwinghead.daemon.operator;
