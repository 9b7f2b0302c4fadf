/** Manifests: what operators declare about services, jobs, quotas, tenants and the objective. */
package dev.waxwinghead.model.manifest;
