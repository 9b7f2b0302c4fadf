/** Client of the operators' HTTP interface with failover between entry hosts. */
package dev.waxwinghead.cli.client;
