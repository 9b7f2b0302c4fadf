/** The configuration in force: the manifests that operators declare, its revisions and its changes. */
package dev.waxwinghead.daemon.configuration;
