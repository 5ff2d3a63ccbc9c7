import type * as route from './Route.js';
import type * as tenant from './Tenant.js';

const UNMANAGED: tenant.CallerIdentity = { type: 'unmanaged' };
const ANONYMOUS: tenant.CallerIdentity = { type: 'anonymous' };

/** Finds the tenant of a request by the digest of its key. */
export class TenantTable {
  // One identity for each tenant, so that a request needs no object of its own.
  private readonly identities = new Map<string, tenant.CallerIdentity>();

  /** @param tenants - Tenants of one configuration. */
  constructor(tenants: readonly tenant.Tenant[]) {
    tenants.forEach((added) => {
      const identity: tenant.CallerIdentity = { type: 'tenant', tenant: added };
      added.keyDigests.forEach((digest) => this.identities.set(digest, identity));
    });
  }

  /**
   * Finds the identity of the caller of a request. Returns undefined if the route requires a key of a tenant and the request has none.
   * @param access - Access to the route.
   * @param credential - Digest of the key of the request; undefined if it has none.
   */
  findIdentity(access: route.RouteAccess, credential: string | undefined): tenant.CallerIdentity | undefined {
    if (this.identities.size === 0 && access === 'public') return UNMANAGED;
    const found = credential === undefined ? undefined : this.identities.get(credential);
    return found ?? (access === 'public' ? ANONYMOUS : undefined);
  }
}
