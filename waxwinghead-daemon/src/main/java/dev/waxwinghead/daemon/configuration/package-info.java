/** The configuration in force: what operators declared, its revisions and the rules for changing it. */
package dev.waxwinghead.daemon.configuration;
