/** Manifests, with which operators declare services, jobs, quotas, tenants, traffic classes and objectives. */
package dev.waxwinghead.model.manifest;
