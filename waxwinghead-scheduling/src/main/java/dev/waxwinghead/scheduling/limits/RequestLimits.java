package dev.waxwinghead.scheduling.limits;

import dev.waxwinghead.model.id.TenantId;
import dev.waxwinghead.model.id.TrafficClass;
import dev.waxwinghead.model.manifest.TenantManifest;
import dev.waxwinghead.model.manifest.TrafficClassManifest;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Holds the limits of tenants and classes at one entry host, and what is in flight under them.
 *
 * <p>Tenants and classes without a manifest have the weight 1 and no limit. Safe for use by several threads.
 *
 * @since 0.1
 */
public final class RequestLimits {
    private final Map<TenantId, Integer> tenantsInFlight = new HashMap<>();
    private final Map<TrafficClass, Integer> classesInFlight = new HashMap<>();
    private final Map<TenantId, TokenBucket> buckets = new HashMap<>();
    private Map<TenantId, TenantManifest> tenants = Map.of();
    private Map<TrafficClass, TrafficClassManifest> classes = Map.of();

    private RequestLimits() {}

    /**
     * Returns limits that let everything through.
     *
     * @return the limits, never null
     */
    public static RequestLimits create() {
        return new RequestLimits();
    }

    /**
     * Replaces the manifests. What is in flight stays counted.
     *
     * @param newTenants all tenants
     * @param newClasses all classes
     */
    public synchronized void configure(
            Collection<TenantManifest> newTenants, Collection<TrafficClassManifest> newClasses) {
        Map<TenantId, TenantManifest> byTenant = new HashMap<>();
        newTenants.forEach(tenant -> byTenant.put(tenant.name(), tenant));
        Map<TrafficClass, TrafficClassManifest> byClass = new HashMap<>();
        newClasses.forEach(trafficClass -> byClass.put(trafficClass.name(), trafficClass));
        tenants = byTenant;
        classes = byClass;
        buckets.keySet().retainAll(byTenant.keySet());
    }

    /**
     * Counts a request in if no limit forbids it.
     *
     * @param tenant its tenant
     * @param trafficClass its class
     * @param now the time, in nanoseconds
     * @return why it is refused; empty if it was counted in, and {@link #leave} must follow
     */
    public synchronized Optional<String> enter(TenantId tenant, TrafficClass trafficClass, long now) {
        TenantManifest tenantLimits = tenants.get(tenant);
        TrafficClassManifest classLimits = classes.get(trafficClass);
        if (tenantLimits != null && reached(tenantsInFlight.get(tenant), tenantLimits.maxInFlight())) {
            return Optional.of("tenant " + tenant + " has " + tenantLimits.maxInFlight() + " requests in flight");
        }
        if (classLimits != null && reached(classesInFlight.get(trafficClass), classLimits.maxInFlight())) {
            return Optional.of("class " + trafficClass + " has " + classLimits.maxInFlight() + " requests in flight");
        }
        if (tenantLimits != null && !takeToken(tenantLimits, now)) {
            return Optional.of(
                    "tenant " + tenant + " sends more than " + tenantLimits.requestsPerSecond() + " requests a second");
        }
        tenantsInFlight.merge(tenant, 1, Integer::sum);
        classesInFlight.merge(trafficClass, 1, Integer::sum);
        return Optional.empty();
    }

    /**
     * Counts a request out.
     *
     * @param tenant its tenant
     * @param trafficClass its class
     */
    public synchronized void leave(TenantId tenant, TrafficClass trafficClass) {
        tenantsInFlight.merge(tenant, -1, RequestLimits::sumOrNull);
        classesInFlight.merge(trafficClass, -1, RequestLimits::sumOrNull);
    }

    /**
     * Returns the weight of a flow of requests.
     *
     * @param tenant its tenant
     * @param trafficClass its class
     * @return the product of both weights, above 0
     */
    public synchronized double weight(TenantId tenant, TrafficClass trafficClass) {
        TenantManifest tenantLimits = tenants.get(tenant);
        TrafficClassManifest classLimits = classes.get(trafficClass);
        return (tenantLimits == null ? 1 : tenantLimits.weight()) * (classLimits == null ? 1 : classLimits.weight());
    }

    /**
     * Tells whether late requests of a class may be sent a second time.
     *
     * @param trafficClass the class
     * @return true if its manifest says so
     */
    public synchronized boolean hedges(TrafficClass trafficClass) {
        TrafficClassManifest classLimits = classes.get(trafficClass);
        return classLimits != null && classLimits.hedge();
    }

    /**
     * Tells whether a tenant is declared.
     *
     * @param tenant the tenant
     * @return true if it has a manifest
     */
    public synchronized boolean declares(TenantId tenant) {
        return tenants.containsKey(tenant);
    }

    /**
     * Tells whether a class is declared.
     *
     * @param trafficClass the class
     * @return true if it has a manifest
     */
    public synchronized boolean declares(TrafficClass trafficClass) {
        return classes.containsKey(trafficClass);
    }

    private boolean takeToken(TenantManifest tenant, long now) {
        Double rate = tenant.requestsPerSecond();
        if (rate == null) {
            return true;
        }
        TokenBucket bucket = buckets.get(tenant.name());
        if (bucket == null || bucket.perSecond() != rate) {
            bucket = TokenBucket.create(rate, now);
            buckets.put(tenant.name(), bucket);
        }
        return bucket.tryTake(now);
    }

    private static boolean reached(Integer inFlight, Integer most) {
        return most != null && inFlight != null && inFlight >= most;
    }

    private static Integer sumOrNull(Integer one, Integer other) {
        int sum = one + other;
        return sum == 0 ? null : sum;
    }
}
