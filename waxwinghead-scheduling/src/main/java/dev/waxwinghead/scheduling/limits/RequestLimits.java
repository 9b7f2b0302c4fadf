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
 * Enforces the limits of tenants and traffic classes at one entry host, and counts their requests in flight.
 *
 * <p>Tenants and classes without a manifest have the weight 1 and no limits. Thread-safe.
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
     * Returns an instance without any limits.
     *
     * @return the limits, never null
     */
    public static RequestLimits create() {
        return new RequestLimits();
    }

    /**
     * Replaces all manifests. Requests in flight remain counted.
     *
     * @param newTenants the manifests of all tenants
     * @param newClasses the manifests of all traffic classes
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
     * Admits a request and counts it as in flight, unless a limit is reached.
     *
     * @param tenant the request's tenant
     * @param trafficClass the request's traffic class
     * @param now the current time, in nanoseconds
     * @return the reason for the refusal; empty if the request was admitted, in which case {@link #release} must be
     *     called when the request ends
     */
    public synchronized Optional<String> admit(TenantId tenant, TrafficClass trafficClass, long now) {
        TenantManifest tenantLimits = tenants.get(tenant);
        TrafficClassManifest classLimits = classes.get(trafficClass);
        if (tenantLimits != null && limitReached(tenantsInFlight.get(tenant), tenantLimits.maxInFlight())) {
            return Optional.of("tenant " + tenant + " has " + tenantLimits.maxInFlight() + " requests in flight");
        }
        if (classLimits != null && limitReached(classesInFlight.get(trafficClass), classLimits.maxInFlight())) {
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
     * Removes an admitted request from the requests in flight.
     *
     * @param tenant the request's tenant
     * @param trafficClass the request's traffic class
     */
    public synchronized void release(TenantId tenant, TrafficClass trafficClass) {
        tenantsInFlight.merge(tenant, -1, RequestLimits::sumOrNull);
        classesInFlight.merge(trafficClass, -1, RequestLimits::sumOrNull);
    }

    /**
     * Returns the weight of the flow of a tenant and traffic class.
     *
     * @param tenant the request's tenant
     * @param trafficClass the request's traffic class
     * @return the product of the weights of the tenant and the class, above 0
     */
    public synchronized double weight(TenantId tenant, TrafficClass trafficClass) {
        TenantManifest tenantLimits = tenants.get(tenant);
        TrafficClassManifest classLimits = classes.get(trafficClass);
        return (tenantLimits == null ? 1 : tenantLimits.weight()) * (classLimits == null ? 1 : classLimits.weight());
    }

    /**
     * Returns whether late requests of a traffic class may be hedged.
     *
     * @param trafficClass the traffic class
     * @return true if the manifest of the class enables hedging
     */
    public synchronized boolean hedges(TrafficClass trafficClass) {
        TrafficClassManifest classLimits = classes.get(trafficClass);
        return classLimits != null && classLimits.hedge();
    }

    /**
     * Returns whether a tenant is declared.
     *
     * @param tenant the tenant
     * @return true if there is a manifest
     */
    public synchronized boolean declares(TenantId tenant) {
        return tenants.containsKey(tenant);
    }

    /**
     * Returns whether a traffic class is declared.
     *
     * @param trafficClass the traffic class
     * @return true if there is a manifest
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

    private static boolean limitReached(Integer inFlight, Integer limit) {
        return limit != null && inFlight != null && inFlight >= limit;
    }

    private static Integer sumOrNull(Integer first, Integer second) {
        int sum = first + second;
        return sum == 0 ? null : sum;
    }
}
