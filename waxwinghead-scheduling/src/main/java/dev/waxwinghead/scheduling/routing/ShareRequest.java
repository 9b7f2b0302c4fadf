package dev.waxwinghead.scheduling.routing;

/**
 * Requests a share of an upstream's slots from their owner.
 *
 * @param sequence a number that increases with each request of a holder to an owner
 * @param keep the number of slots that the holder has in use or may use until the answer arrives
 * @param want the number of slots that the holder wants
 * @param sameDataCentre whether the holder is in the upstream's data centre; such holders take precedence
 * @since 0.1
 */
public record ShareRequest(long sequence, int keep, int want, boolean sameDataCentre) {}
