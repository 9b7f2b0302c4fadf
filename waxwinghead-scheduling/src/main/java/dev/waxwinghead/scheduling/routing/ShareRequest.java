package dev.waxwinghead.scheduling.routing;

/**
 * Asks an owner for a share.
 *
 * @param sequence rises with each request of a holder to an owner
 * @param keep what the holder has in use or goes on using until the answer
 * @param want what the holder would like to have
 * @param near whether the holder is in the upstream's data centre; those go first
 * @since 0.1
 */
public record ShareRequest(long sequence, int keep, int want, boolean near) {}
