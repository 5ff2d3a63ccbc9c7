/** Requests that a tenant may send through all VMs together. */
export interface TenantQuota {
  readonly perSecond: number;
  /** Requests allowed in addition after a pause. */
  readonly burst: number;
}

/** Organization on whose behalf callers send requests. Its callers identify themselves by a key. */
export interface Tenant {
  readonly name: string;
  /** Digests of its keys. Several are valid while a key is replaced. */
  readonly keyDigests: readonly string[];
  /** Priority of the tenant, which goes before that of the route; 0 is the most urgent. */
  readonly rank: number;
  /** Undefined if the number of its requests is not limited. */
  readonly quota: TenantQuota | undefined;
}

/**
 * On whose behalf a request is sent.
 * - `unmanaged`: the configuration has no tenants.
 * - `anonymous`: the route is public, and the request has no key of a tenant.
 * - `tenant`: the request has a key of the tenant.
 */
export type CallerIdentity =
  | { readonly type: 'unmanaged' }
  | { readonly type: 'anonymous' }
  | { readonly type: 'tenant'; readonly tenant: Tenant };
