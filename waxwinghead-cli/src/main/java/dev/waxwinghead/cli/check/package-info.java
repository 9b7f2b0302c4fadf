/** Checks manifests before they are applied: invalid fields, rules that never match and limits that contradict. */
package dev.waxwinghead.cli.check;
