/** The daemon's settings: flags, environment variables and the checks on both. */
package dev.waxwinghead.daemon.settings;
